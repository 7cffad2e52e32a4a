Feature: Answers through another router are those of the server
  Status, headers, bytes, end marker and the way in which an answer breaks off are unchanged.

  Scenario Outline: A relayed answer is the same as a direct one
    Given two routers on sockets, one of them cut off from a server that <behaviour>
    When the same request is sent directly and through the other router
    Then both answers are the same, to their end

    Examples:
      | behaviour                                   |
      | answers                                     |
      | answers in chunks                           |
      | answers without a length                    |
      | closes an answer with codings on two lines  |
      | resets an answer without a length           |
      | breaks off in the body                      |
      | breaks off in a chunk                       |
      | fails                                       |
      | refuses as full                             |
      | streams slowly                              |
      | streams without a length                    |
      | breaks off after 2 events and a half        |
      | closes after 2 events and a half            |
      | streams a large event without a length      |
