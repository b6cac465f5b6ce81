"""Guards of the recognition of returning callers."""

import guard as guard_lib

F = "jasperweir/components/forward/"
Guard = guard_lib.Guard

GUARDS = (
    Guard("a time that callers choose shows no retry",
          F + "return_detector.py",
          "if stated_s is None or self._estimator.is_common(route):",
          "if True:", "returns"),
    Guard("a retry has the same end of its time", F + "return_detector.py",
          "if abs(difference_s) > const.RETURN_TOLERANCE_SECONDS:",
          "if False:", "returns"),
    Guard("refused requests are bounded", F + "return_detector.py",
          "if not is_over and len(self._refused) <= const.RETURNS_MAX:",
          "if not is_over:", "returns"),
    Guard("a storm of retries shows no time that callers choose",
          "jasperweir/components/balance/wait_estimate.py",
          "if share < const.STATED_COMMON_SHARE:",
          "if share < 0.6:", "returns"),
    Guard("nothing is given up without a forecast", F + "service_queue.py",
          "if order.releases_per_s <= 0:", "if False:", "order"),
    Guard("no sums of demand while slots are plentiful", F + "queues.py",
          "if self._has_plenty(queue, candidates):",
          "if False:", "order"),
)  # fmt: skip
