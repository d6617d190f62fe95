package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.ternhinge.ledger.ProductionLiterals.json;
import static org.ternhinge.ledger.ProductionLiterals.text;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.ternhinge.model.JobId;
import org.ternhinge.model.Resources;
import org.ternhinge.wire.MachineType;
import org.ternhinge.wire.ProvisionRequest;
import org.ternhinge.wire.WireException;

/** Compatibility of keys, provision requests and machine types with the version in production. */
class ProductionSharedRecordsTest {
  @Test
  void keysAreUnchanged() {
    JobId id = new JobId("wk-000002");
    assertEquals("j/wk-000002", Keys.job(id));
    assertEquals("j/wk-000002", Keys.segment(id, 0));
    assertEquals("j/wk-000002/2", Keys.segment(id, 2));
    assertEquals("f/wk-000002", Keys.finalRecord(id));
    assertEquals("r/ x/ term leader flavors", String.join(" ", otherKeys()));
  }

  private static List<String> otherKeys() {
    return List.of(Keys.PROVISIONS, Keys.RELEASES, Keys.TERM, Keys.LEADER, Keys.MACHINE_TYPES);
  }

  @Test
  void provisionRequestIsUnchanged() throws WireException {
    String provision =
        "{\"leigubeidni\":\"t5-3\",\"velagerd\":\"small\",\"svaedi\":\"east\",\"lanvelar\":true,"
            + "\"count\":12}";
    ProvisionRequest request = new ProvisionRequest("t5-3", "small", "east", true, 12);
    assertEquals(request, ProvisionRequest.read(json(provision)));
    assertEquals(provision, text(request.write()));
  }

  /** Machine types, which all versions store for the next start. */
  @Test
  void machineTypesAreUnchanged() throws WireException {
    String types =
        "{\"velagerdir\":[{\"name\":\"small\",\"cpus\":4.0,\"accelerators\":0.0,"
            + "\"memory_gb\":16.0,\"cache_gb\":50.0,\"pull_gb_per_s\":1.0,\"hourly\":0.2,"
            + "\"low_price\":0.1,\"startup_s\":5.0,\"svaedin\":[\"east\",\"west\"]},"
            + "{\"name\":\"fast\",\"cpus\":16.0,\"accelerators\":2.0,\"memory_gb\":64.0,"
            + "\"cache_gb\":50.0,\"pull_gb_per_s\":1.5,\"hourly\":3.0,\"low_price\":1.0,"
            + "\"startup_s\":8.0,\"svaedin\":[\"west\"]}]}";
    List<String> both = List.of("east", "west");
    List<MachineType> expected =
        List.of(
            new MachineType(
                "small", Resources.ofCapacity(4, 0, 16), 4, 0, 16, 50, 1, 0.2, 0.1, 5, both),
            new MachineType(
                "fast",
                Resources.ofCapacity(16, 2, 64),
                16,
                2,
                64,
                50,
                1.5,
                3,
                1,
                8,
                List.of("west")));
    assertEquals(expected, MachineType.readAll(json(types)));
    assertEquals(types, text(MachineType.writeAll(expected)));
  }
}
