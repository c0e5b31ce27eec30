Feature: Requests in random forms get the route of their own site and path
  Guards against requests that are denied though a route allows them, and against a request that is
  matched by parts of another: pipelined requests, cut into pieces of all sizes, whose ids, bodies,
  sites and routes a plain search finds as well.

  Scenario Outline: Sites are found however a request names them
    When 100 connections send pipelined requests whose sites are named by "<form>"
    Then each request got its own route, id, body and site

    Examples:
      | form         |
      | plain        |
      | absolute     |
      | ipv6         |
      | trailing_dot |

  Scenario Outline: Targets without a host or with a user, and requests without a Host header, name no site
    Then a request for "<target>" with the Host header "<host>" names no site

    Examples:
      | target                  | host    |
      | http:///a/              | s       |
      | http://user@s/a/        | s       |
      | http://s/a/             | missing |
      | /a/                     | missing |
