package org.ternhinge.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/** Parsing and validation of settings and tuning files. */
class ConfigTest {
  public static final String VALID_SETTINGS =
      """
      {"node":"a","site":"z","client_listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
       "peers":[{"node":"b","site":"y","endpoint":"127.0.0.1:3"}],
       "external":{"cloud":"127.0.0.1:4","state":"127.0.0.1:5"},
       "new_field":{"x":1},
       "deployment":{"zones":["y","z"],"teams":[{"name":"t","cpus":1.5,"cpus_max":4}],
        "objectives":[{"kind":"wait","class":"c","within_s":2.0,"share":0.9}],
        "workers":{"report_s":3,"lease_s":24,"gang_wait_s":30,"gang_peer_s":5,"cancel_s":44},
        "state":{"rps":80,"write_rps":30,"value_kb":8,"txn_ops":16},
        "cloud":{"rps":4,"list_lag_s":10}}}
      """;

  private static ObjectNode validSettings() throws WireException {
    return (ObjectNode) Json.parse(VALID_SETTINGS.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void platformSettingsAreRead() throws Exception {
    Settings settings = Settings.read(validSettings());
    assertEquals("a", settings.node());
    assertEquals(new Team("t", 1500, 4000, 0, 0), settings.teams().get("t"));
    assertEquals(2.0, settings.objectives().get(0).withinS());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "/ | node | 5 | node:",
        "/ | client_listen | \"nowhere\" | client_listen:",
        "/ | external | null | external:",
        "/external | state | \"1.2.3.4:99999\" | external.state:",
        "/deployment | zones | [] | deployment.zones:",
        "/deployment | teams | [{\"name\":\"t\"},{\"name\":\"t\"}] | deployment.teams:",
        "/deployment | teams | [{\"name\":\"t\",\"cpus\":-1}] | deployment.teams.cpus:",
        "/deployment/workers | lease_s | 0 | deployment.workers.lease_s:",
        "/deployment/workers | cancel_s | 24 | deployment.workers.cancel_s:",
        "/deployment/state | txn_ops | \"16\" | deployment.state.txn_ops:",
        "/deployment/cloud | rps | -1 | deployment.cloud.rps:"
      })
  void settingsErrorNamesField(String at, String field, String value, String message)
      throws WireException {
    ObjectNode root = validSettings();
    JsonNode parent = at.equals("/") ? root : root.at(at);
    ((ObjectNode) parent).set(field, Json.parse(value.getBytes(StandardCharsets.UTF_8)));
    SettingsException error = assertThrows(SettingsException.class, () -> Settings.read(root));
    assertTrue(error.getMessage().startsWith(message), error.getMessage());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "round_s = 0 | round_s",
        "rounds = 1 | unknown name rounds",
        "grace_s = \"long\" | grace_s",
        "renew_s = 5 | renew_s",
        "log_times = 1 | log_times",
        "leadership_s = { | leadership_s"
      })
  void tuningErrorNamesKey(String hcl, String message) {
    SettingsException error = assertThrows(SettingsException.class, () -> Tuning.read(hcl));
    assertTrue(error.getMessage().contains(message), error.getMessage());
  }

  @Test
  void absentTuningValuesHaveDefaults() throws SettingsException {
    Tuning tuning = Tuning.read("# slower rounds\nround_s = 2.5\nidle_s = 90\n");
    assertEquals(2.5, tuning.roundS());
    assertEquals(90, tuning.idleS());
    assertEquals(Tuning.DEFAULT.leadershipS(), tuning.leadershipS());
  }

  @Test
  void missingTuningFileIsRejected() {
    assertThrows(SettingsException.class, () -> Tuning.load(Path.of("no", "such.hcl")));
  }
}
