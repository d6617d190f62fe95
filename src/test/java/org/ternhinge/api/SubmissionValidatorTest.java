package org.ternhinge.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ternhinge.sim.SimCluster;
import org.ternhinge.sim.SimMachineTypes;
import org.ternhinge.sim.SubmissionJson;
import org.ternhinge.wire.MachineType;

/**
 * Rejection of jobs that can never run, with a team limit of 24 CPUs and machines of up to 16 CPUs.
 */
class SubmissionValidatorTest {
  private final SimCluster cluster = new SimCluster(1, 0);

  private static Map<String, MachineType> machineTypes() {
    Map<String, MachineType> out = new LinkedHashMap<>();
    SimMachineTypes.ALL.forEach(machineType -> out.put(machineType.name(), machineType));
    return out;
  }

  @ParameterizedTest(name = "{0}, {1} tasks of {2} CPUs by {3}, zone {4}, {5} {6} after {7}: {8}")
  @CsvSource({
    // kind, tasks, CPUs, team, zone, together, scatter, dependency, rejection
    "batch,  1000, 1,  red,  ,      false, false, wk-9, ",
    "batch,  1,    16, red,  ,      false, false,     , ",
    "batch,  1,    17, red,  ,      false, false,     , NO_MACHINE_TYPE",
    "batch,  1,    1,  pink, ,      false, false,     , UNKNOWN_TEAM",
    "batch,  1,    1,  red,  north, false, false,     , NO_MACHINE_TYPE",
    "group,  24,   1,  red,  ,      true,  false,     , ",
    "group,  25,   1,  red,  ,      true,  false,     , ABOVE_TEAM_LIMIT",
    "daemon, 25,   1,  red,  ,      false, false,     , ABOVE_TEAM_LIMIT",
    "batch,  1,    1,  red,  ,      false, false, wk-1, DEPENDS_ON_ITSELF",
    "group,  2,    1,  red,  east,  false, true,      , SCATTERED_IN_ONE_ZONE",
    "group,  2,    1,  red,  ,      true,  true,      , TOGETHER_AND_SCATTERED",
    "batch,  9,    1,  red,  east,  true,  true,      , ",
    "group,  1,    1,  red,  east,  true,  true,      , ",
  })
  void jobThatCanNeverRunIsRejected(
      String kind,
      int tasks,
      double cpus,
      String team,
      String zone,
      boolean together,
      boolean scatter,
      String dependency,
      SubmissionRejection expected) {
    ObjectNode body =
        SubmissionJson.smallJob("wk-1", kind, tasks).put("cpus", cpus).put("eigandi", team);
    body.put("svaedi", zone).put("together", together).put("scatter", scatter);
    if (dependency != null) {
      body.putArray("bidur_eftir").add(dependency);
    }
    assertEquals(
        Optional.ofNullable(expected),
        SubmissionValidator.validate(
            SubmissionJson.parse(body), cluster.settings("node-0"), machineTypes()));
  }
}
