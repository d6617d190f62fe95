package org.ternhinge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.wire.Priority;

/** Parsing and validation of the block {@code zone_failover} of the tuning file. */
class ZoneFailoverReaderTest {
  private static final String REST = "{ name = \"rest\" }";

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "suspect_share = 0 | zone_failover.suspect_share: a number above 0",
        "lost_share = 1.5 | zone_failover.lost_share",
        "suspect_share = 0.9 | zone_failover.suspect_share: has to be below lost_share",
        "clear_share = 0.3 | zone_failover.clear_share: has to be below suspect_share",
        "reuse_at = 1.5 | zone_failover.reuse_at: has to be below suppress_at",
        "flap_max = 1 | zone_failover.suppress_at: has to be below flap_max",
        "return_starts = 0 | zone_failover.return_starts: a number above 0",
        "drain_s = 0 | zone_failover.drain_s",
        "steps = 1.5 | zone_failover.steps: a whole number",
        "min_machines = 0 | zone_failover.min_machines",
        "supect_share = 0.2 | unknown name zone_failover.supect_share",
        "tiers = [] | zone_failover.tiers: the last tier must match all other jobs",
        "tiers = [{ name = \"a\", classes = [\"x\"] }] | the last tier must match all other jobs",
        "tiers = [{ classes = [\"x\"] }, REST] | zone_failover.tiers[0].name: a name",
        "tiers = [{ name = \"a\", priorities = [\"urgent\"] }, REST] | priorities: unknown: urgent",
        "tiers = [{ name = \"a\", types = [\"cron\"] }, REST] | tiers[0].types: unknown: cron",
        "tiers = [{ name = \"a\", classes = [\"x\", \"x\"] }, REST] | tiers[0].classes: a list",
        "tiers = [{ name = \"a\", class = [\"x\"] }, REST] | unknown name zone_failover.tiers[0].class",
        "tiers = [REST, { name = \"a\" }] | a can never match: rest comes first",
        "tiers = [{ name = \"a\", classes = [\"x\", \"y\"] }, { name = \"b\", classes = [\"x\"] }, REST]"
            + " | b can never match: a comes first",
        "tiers = [{ name = \"a\", classes = [\"x\"] }, { name = \"a\" }] | a appears twice"
      })
  void errorNamesKeyAndReason(String line, String message) {
    String hcl = "zone_failover {\n" + line.replace("REST", REST) + "\n}\n";
    SettingsException error = assertThrows(SettingsException.class, () -> Tuning.read(hcl));
    assertTrue(error.getMessage().contains(message), error.getMessage());
  }

  @Test
  void duplicateBlockIsRejected() {
    String block = "zone_failover {\n steps = 3\n}\n";
    SettingsException error =
        assertThrows(SettingsException.class, () -> Tuning.read(block + block));
    assertTrue(error.getMessage().contains("zone_failover: appears twice"), error.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "teams = [\"red\"] |",
        "teams = [\"green\"] | zone_failover.tiers.a.teams: unknown: green"
      })
  void namesAreCheckedAgainstTheSettings(String criterion, String message)
      throws SettingsException {
    Tuning tuning =
        Tuning.read(
            "zone_failover {\n tiers = [{ name = \"a\", " + criterion + " }, " + REST + "]\n}");
    Settings settings = new SimCluster(1, 0).settings("node-0");
    if (message == null) {
      tuning.check(settings);
    } else {
      SettingsException error = assertThrows(SettingsException.class, () -> tuning.check(settings));
      assertTrue(error.getMessage().contains(message), error.getMessage());
    }
  }

  /** Guards against a zone that counts as healthy before its silent workers are detected. */
  @ParameterizedTest(name = "{0} s where heartbeats come every {1} s")
  @CsvSource({"10, 3, 10", "10, 5, 16.5", "20, 5, 20", "2, 3, 9.9"})
  void settleTimeExceedsWorkerFailureDetectionTime(
      double settleS, double heartbeatIntervalS, double expected) throws SettingsException {
    ZoneFailoverSettings read =
        Tuning.read("zone_failover {\n settle_s = " + settleS + "\n}").zoneFailover().orElseThrow();
    Settings.WorkerTimings workers = new Settings.WorkerTimings(heartbeatIntervalS, 24, 30, 5, 44);
    double used = read.forHeartbeats(workers.overdueS()).detection().settleS();
    assertEquals(expected, used, 1e-9);
  }

  @Test
  void deployedTuningFilesAreValid() throws SettingsException {
    assertSame(
        Tuning.DEFAULT,
        Tuning.load(Path.of("deploy", "features.hcl")),
        "no optional feature is enabled");
    ZoneFailoverSettings failover =
        Tuning.load(Path.of("deploy", "zone-failover.hcl")).zoneFailover().orElseThrow();
    assertEquals("warnings", failover.tiers().get(0).name());
    assertEquals(Set.of(Priority.PRODUCTION), failover.tiers().get(0).priorities());
    assertEquals(ZoneFailoverSettings.DEFAULT.detection(), failover.detection());
  }
}
