# What is switched on, read with --tuning. Nothing is: the service behaves as without this file.
# deploy/zone-failover.hcl shows what can be put here; docs/operations-zone-failover.md says what it does.
