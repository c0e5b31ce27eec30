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

  # The smallest machine of the deployments in force, with all connections that its descriptors allow
  # most crowds. Bytes that the host has received and not read count as its memory.
  Scenario Outline: A crowd of many connections leaves the smallest host within its memory
    Given a host program with 152 MB and 2870 descriptors
    When <count> clients have sent its door for <door> <habit> for 8 s
    Then the host program lives
    And its memory and its descriptors have stayed within its limits
    And an ordinary request is answered with 200

    Examples: Heads
      | count | door      | habit                                             |
      | 1300  | clients   | heads of many fields and bodies without their end |
      | 2000  | clients   | heads of many fields without their end            |
      | 1300  | clients   | trailers of many fields without their end         |
      | 1000  | clients   | whole requests with many fields in a row          |
      | 500   | clients   | the smallest requests in a row                    |
      | 1300  | lookups   | heads of many fields and bodies without their end |
      | 1300  | metrics   | trailers of many fields without their end         |
      | 1300  | readiness | whole requests with many fields in a row          |

    Examples: Bodies
      | count | door    | habit                                          |
      | 2000  | clients | bodies in chunks of one byte without their end |
      | 2000  | clients | chunks with long extensions                    |
      | 2000  | clients | bodies that stop short of their end            |
      | 500   | clients | whole uploads that wait for their upstream     |
      | 2000  | metrics | bodies in chunks of one byte without their end |

    Examples: Answers and silence
      | count | door    | habit                                           |
      | 2000  | clients | requests for many answers that are read slowly  |
      | 2500  | clients | nothing                                         |
      | 2500  | hosts   | messages of hosts without their end             |
      | 2000  | clients | long answers that are read slowly               |
      | 500   | clients | whole bodies whose long answers are read slowly |

  Scenario: Crowds of many connections at all doors together leave the smallest host within its memory
    Given a host program with 152 MB and 2870 descriptors
    When clients have done these for 8 s
      | count | habit                                             | door      |
      | 500   | heads of many fields and bodies without their end | clients   |
      | 500   | trailers of many fields without their end         | lookups   |
      | 500   | bodies in chunks of one byte without their end    | readiness |
      | 500   | whole requests with many fields in a row          | metrics   |
      | 500   | messages of hosts without their end               | hosts     |
    Then the host program lives
    And its memory and its descriptors have stayed within its limits
    And an ordinary request is answered with 200

  Scenario Outline: A host reloads, stops and starts while a crowd is at its door
    Given a host program with 152 MB and 2870 descriptors
    When <count> clients have sent it <habit> for 4 s
    And the host program is asked to reload its settings, to stop, and is started again
    Then an ordinary request is answered with 200
    And the host program lives
    And its memory and its descriptors have stayed within its limits

    Examples:
      | count | habit                                             |
      | 1000  | heads of many fields and bodies without their end |
      | 1000  | requests for many answers that are read slowly    |

  # Guards against a limit that refuses what the configuration permits.
  Scenario: The largest request and the largest answer are served in calm
    Given a host program with 152 MB and 600 descriptors
    Then a request with the largest body is answered with 8000 KB
    And its memory and its descriptors have stayed within its limits
