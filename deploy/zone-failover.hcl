# Ordered failover and paced return of zones. To switch it on, pass this file with --tuning or copy
# the block into deploy/features.hcl. Values that are left out have the defaults that are shown.
zone_failover {
  # When a zone counts as lost, and as well again: shares of impaired machines, and seconds.
  suspect_share = 0.3
  lost_share = 0.8
  clear_share = 0.1
  min_machines = 2
  confirm_s = 4
  settle_s = 10   # 3.3 report intervals at least
  suspect_max_s = 10
  correlation_s = 5

  # Penalties of zones that are lost repeatedly.
  flap_half_life_s = 30
  suppress_at = 1.25
  reuse_at = 0.75
  flap_max = 2.5

  # Moves out of a lost zone.
  tier_hold_s = 15
  drain_s = 10

  # Starts a second in a zone that has returned: for each of its machines at first, then doubled.
  return_starts = 0.1
  step_s = 5
  steps = 4

  # The order of moves. Criteria are teams, classes, types and priorities; the last tier takes the rest.
  tiers = [
    { name = "warnings", priorities = ["production"] },
    { name = "charts", priorities = ["high", "normal"] },
    { name = "climate" }
  ]
}
