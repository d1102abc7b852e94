Feature: Whole sessions of operators and callers on separate processes

  Scenario: first-set-up
    Given the hinokuni stack
    When akari runs "status"
    And akari runs "table edit class/fitter-signoff weight=0 deadlineMs=-1"
    And akari runs "table edit class/new-work pool=nowhere urgency=patient repeat=repeatable weight=1 price=0 rate=0 concurrency=0 queue=10 deadlineMs=0 runMs=1000"
    And callers send 12 "fitter-signoff" requests
    And callers send 3 "no-such-class" requests
    And akari runs "hosts" and keeps lines with "fitters"
    Then the session equals its golden file

  Scenario: friday-price-edit
    Given the ironshore stack
    When dana runs "table edit class/quote-ohio price=109.5 --wait"
    And callers send 12 "quote-ohio" requests
    And erik runs "table edit class/quote-ohio price=111 --base 1"
    And dana runs "table edit class/quote-ohio price=abc"
    And dana runs "table history" and keeps lines with "table 2"
    Then the session equals its golden file

  Scenario: wave-with-correlated-failure
    Given the hinokuni stack
    And every host of "office-admin" but "office-admin-1" fails its reboot
    When akari runs "wave plan spring --pool office-admin --parallel 2"
    And akari runs "wave start spring"
    And the wave "spring" becomes "awaiting-approval"
    And akari runs "wave approve spring"
    And the wave "spring" becomes "stopped"
    And akari runs "wave status spring"
    And akari runs "wave approve spring"
    And akari runs "audit --limit 1000" and keeps lines with "wave.state"
    Then the session equals its golden file

  Scenario: platform-outage-over-a-rent-run
    Given the hinokuni stack
    When callers submit 20 rent runs of 1500 ms
    And the platform goes down
    And callers send 6 "fault-ticket" requests
    And callers send 1 rent run during the outage
    And akari runs "drain fitters-1"
    And the platform comes back
    And every job is at rest
    And akari runs "jobs list --state done" and counts lines with "rent-run"
    Then no rent run happened twice
    And the session equals its golden file

  Scenario: entry-killed-in-the-middle
    Given the hinokuni stack
    When callers submit 30 rent runs of 1500 ms
    And akari waits 700 ms
    And the process of "entry-5" is killed
    And akari waits 2500 ms
    And callers send 12 "fault-ticket" requests
    And every job is at rest
    And akari runs "jobs list --state done" and counts lines with "rent-run"
    Then no rent run happened twice
    And the session equals its golden file

  Scenario: zone-cut
    Given the hinokuni stack
    When the zone "oita" is cut off
    And akari waits 3000 ms
    And callers of "entry-6" send 6 "fitter-signoff" requests
    And akari runs "table edit class/fitter-signoff weight=7 --wait"
    And the zone "oita" is healed
    And akari waits 2500 ms
    And akari runs "status" and keeps lines with "entry-6"
    Then the session equals its golden file

  Scenario: entry-stopped-under-load
    Given the hinokuni stack
    When callers send 60 "fault-ticket" requests of 600 ms while "entry-2" is stopped
    And callers send 12 "fault-ticket" requests
    Then the session equals its golden file

  Scenario: leaving-host-with-a-silent-link
    Given the hinokuni stack
    When the link between "entry-1" and "entry-2" goes silent
    And akari runs "drain fitters-1"
    And the platform goes down
    And akari waits 3000 ms
    And callers send 48 "fitter-signoff" requests
    Then "fitters-1" ran none of the last 48 requests
    And the session equals its golden file
