Feature: A target in need is left alone as far as it asks, at nobody's cost

  # Five targets of sixteen turned away all that came and asked for 3 s of rest
  # each time. The entries did not read it; and as whoever refuses at once has
  # no open request, these were the least loaded of all and were chosen next:
  # 292 requests in 9 s reached the five, 95 the eleven that were well. After
  # three refusals in a row an entry took the whole service for refusing:
  #   7.168 "send failed" target i-4364331507 not_run status 503 open 0
  #   7.459 "targets refuse"
  # and 66 of 187 callers were told 503 while others had free places.

  Scenario: A target that asks for rest is left alone until its end
    Given an entry with 4 targets
    When one of them asks for 3 s of rest, and requests come for 6 s
    Then no more than 2 requests reach a target within a rest it asked for

  Scenario: Nobody is refused while a well target has room
    Given an entry with 4 targets
    When one of them asks for 3 s of rest, and requests come for 6 s
    Then every caller is answered 200

  Scenario: A target that says it leaves gets nothing more
    Given an entry with 4 targets
    When one of them says that it leaves, and requests come for 3 s
    Then it gets no request that came after its first such answer
    And every caller is answered 200

  Scenario: A target that refuses without a word on how long is tried less and less
    Given an entry with 4 targets
    When one of them refuses, and requests come for 6 s
    Then no more than 8 requests reach it
    And every caller is answered 200

  Scenario: A target that takes requests again has its part of them
    Given an entry with 4 targets
    When one of them refuses for 2 s, and requests come for 8 s
    Then it gets at least 15 requests in the last 4 s

  Scenario: Targets are tried though all of them have refused
    Given an entry with 4 targets
    When all of them refuse for 2 s, and requests come for 4 s
    Then every caller of the last 0.5 s is answered 200
