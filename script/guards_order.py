"""Guards of the order of service over all entries; see guards.py."""

import guard

Guard = guard.Guard
B = "jasperweir/components/balance/"
F = "jasperweir/components/forward/"
S = "jasperweir/components/scheduling/"

GUARDS = (
    Guard("a slot is left to more urgent waiting requests", S + "order.py",
          "            ahead += sum(self.total[urgent].waiting"
          " for urgent in range(band))\n", "", "order"),
    Guard("less urgent requests leave a reserve", S + "order.py",
          "return float(math.floor(expected + math.sqrt(expected)))",
          "return 0.0", "order"),
    Guard("no reserve with capacity for all", S + "order.py",
          "if urgent_per_s <= 0 or not self.is_scarce:",
          "if urgent_per_s <= 0:", "order"),
    Guard("each band keeps its floor", S + "order.py",
          "slots = min(max(self._floor - total.running, 0.0), total.waiting)",
          "slots = 0.0", "order"),
    Guard("a forecast leaves out what is overtaken", S + "order.py",
          "        ahead = sum(self.total[urgent].waiting"
          " for urgent in range(band))\n        ahead +=",
          "        ahead = sum(b.waiting for b in self.total)\n"
          "        ahead +=", "order"),
    Guard("no slot is handed over past a more urgent request", S + "order.py",
          "            if not total.waiting:\n                continue\n"
          "            own = self.own[band]\n",
          "            own = self.own[band]\n"
          "            if not own.waiting:\n                continue\n",
          "order"),
    Guard("silent entries' demand is weighted by its age", S + "view.py",
          "return max(0.0, left_s / span_s)", "return 1.0", "order"),
    Guard("a delayed demand is dropped", S + "view.py",
          "if peer is not None and sequence <= peer.sequence:", "if False:",
          "order"),
    Guard("odd counts are clamped", S + "demand.py",
          "return float(min(max(value, 0), const.COUNT_MAX))",
          "return float(value)", "order"),
    Guard("an older entry's queue is the least urgent", S + "view.py",
          "service, const.LOWEST_BAND, max(timely, 0)",
          "service, 0, max(timely, 0)", "order"),
    Guard("the smaller side of a partition has no view", F + "queues.py",
          "if 2 * (1 + self._view.count_peers(now)) <= known:", "if False:",
          "order"),
    Guard("no order after a start", F + "queues.py",
          "        if self._startup_grace.is_active(now):\n"
          "            return None\n", "", "order"),
    Guard("a single priority keeps its decisions", F + "queues.py",
          "return order if order_lib.has_several_bands(order.total) else None",
          "return order", "order_replay"),
    Guard("a customer with many running requests waits", S + "fairness.py",
          "    held = collections.Counter(running)\n",
          "    held: collections.Counter[str] = collections.Counter()\n",
          "order"),
    Guard("remembered customers are bounded", S + "fairness.py",
          "if len(self._finish_tags) >= const.CUSTOMERS_MAX:", "if False:",
          "order"),
    Guard("a flooding customer is over its share", S + "fairness.py",
          "name for name, count in named.items() if count > most)",
          "name for name, count in named.items() if count < 0)", "order"),
    Guard("returns are spread", S + "returns.py",
          "            at = promised_at + 1 /",
          "            at = at + 0 /", "order"),
    Guard("returns fit into the caller's time", S + "returns.py",
          "const.RETURN_MAX_SECONDS, const.RETURN_LEFT_SHARE * left_s",
          "const.RETURN_MAX_SECONDS, left_s", "order"),
    Guard("who resumes an answer is not given up", B + "wait_queue.py",
          "if not is_resumed and left_s > 0:", "if left_s > 0:", "order"),
    Guard("a returning caller goes before new late ones", B + "wait_queue.py",
          "w.is_late(now) and not w.is_return,", "False,", "order"),
    Guard("urgent and other requests choose apart", B + "balancer.py",
          "if is_urgent is not None and len(cheapest) > 1:", "if False:",
          "order"),
)  # fmt: skip
