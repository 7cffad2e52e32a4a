Feature: Decoding of bytes that another process wrote
  Guards against data of other writers that ends a task or a request, because its decoder raises an
  error that nobody expects. A deeply nested value raises RecursionError, which is no decoding error.

  Scenario Outline: Data that cannot be read raises one error
    When <format> data <content> is decoded
    Then the data is unreadable

    Examples:
      | format      | content                                        |
      | JSON        | of 2000 opened arrays in an unknown field      |
      | JSON        | of 3000 nested arrays in an unknown field      |
      | JSON        | of 100000 opened arrays                        |
      | JSON        | with a number that no float holds              |
      | JSON        | with an integer of 5000 digits                 |
      | JSON        | with bytes that are no UTF-8                   |
      | JSON        | of another type                                |
      | JSON        | of no bytes                                    |
      | MessagePack | of 5000 nested arrays in an unknown field      |
      | MessagePack | of an array whose length passes its end        |
      | MessagePack | of another type                                |
      | MessagePack | of no bytes                                    |

  # The list of caught errors at each decoder was a list that the next decoder was missing from.
  Scenario: All modules decode in one place
    Then no module but laburnumpier_core/decoding.py calls a decoder of msgspec

  Scenario Outline: Deeply nested data is handled by those that read it
    Given deeply nested data in <place>
    Then <outcome>

    Examples:
      | place                             | outcome                          |
      | the record of a VM                | the records of other VMs remain  |
      | the record of versions            | no version is known from it      |
      | a message of a peer               | the peer is refused              |
      | the reply of a peer               | the peer is unreachable          |
      | the stored shard of accounts      | the change fails                 |
