Feature: Clients that keep to no limits
  Guards against a host program that ends for lack of memory or descriptors, or that answers nobody
  any more, since many clients send bodies without an end, read nothing, or keep connections open.
  The program runs with the memory of the smallest hosts, 152 MB, and with 600 descriptors.

  Scenario Outline: A crowd at the door of the clients leaves the host within its memory
    Given a host program with 152 MB and 600 descriptors
    When <count> clients have sent it <habit> for 6 s
    Then the host program lives
    And its memory and its descriptors have stayed within its limits
    And an ordinary request is answered with 200

    Examples:
      | count | habit                                           |
      | 100   | bodies in large chunks without their end        |
      | 100   | bodies in chunks of one byte without their end  |
      | 100   | long answers that are read slowly               |
      | 400   | heads that grow slowly                          |
      | 800   | nothing                                         |
      | 100   | pipelines whose answers are not read            |
      | 60    | whole bodies whose long answers are read slowly |

  Scenario: Uploads beside slow readers leave the host within its memory
    Given a host program with 152 MB and 600 descriptors
    When clients have done these for 6 s
      | count | habit                                           |
      | 60    | bodies in large chunks without their end        |
      | 60    | whole bodies whose long answers are read slowly |
      | 60    | long answers that are read slowly               |
      | 60    | pipelines whose answers are not read            |
    Then the host program lives
    And its memory and its descriptors have stayed within its limits
    And an ordinary request is answered with 200

  Scenario Outline: A crowd at another door leaves the host within its memory
    Given a host program with 152 MB and 600 descriptors
    When <count> clients have sent its door for <door> <habit> for 6 s
    Then the host program lives
    And its memory and its descriptors have stayed within its limits
    And an ordinary request is answered with 200

    Examples:
      | count | door      | habit                                          |
      | 100   | lookups   | bodies in large chunks without their end       |
      | 100   | readiness | bodies in chunks of one byte without their end |
      | 100   | metrics   | bodies in large chunks without their end       |
      | 800   | lookups   | nothing                                        |
      | 400   | metrics   | pipelines whose answers are not read           |
      | 400   | readiness | heads that grow slowly                         |
      | 800   | hosts     | nothing                                        |
      | 800   | hosts     | messages of hosts without their end            |
      | 100   | hosts     | bytes that mean nothing                        |
      | 40    | hosts     | datagrams that mean nothing                    |

  Scenario: Crowds at all doors for clients together leave the host within its memory
    Given a host program with 152 MB and 600 descriptors
    When clients have done these for 6 s
      | count | habit                                    | door      |
      | 60    | bodies in large chunks without their end | clients   |
      | 60    | bodies in large chunks without their end | lookups   |
      | 60    | bodies in large chunks without their end | readiness |
      | 60    | bodies in large chunks without their end | metrics   |
    Then the host program lives
    And its memory and its descriptors have stayed within its limits
    And an ordinary request is answered with 200

  # Guards against a limit that refuses what the configuration permits.
  Scenario: The largest request and the largest answer are served in calm
    Given a host program with 152 MB and 600 descriptors
    Then a request with the largest body is answered with 8000 KB
    And its memory and its descriptors have stayed within its limits
