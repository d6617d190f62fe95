package org.ternhinge.ledger;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import org.ternhinge.wire.Json;
import org.ternhinge.wire.WireException;

/**
 * Records as earlier versions write them, byte for byte. Literals whose names begin with {@code
 * WAITING} or {@code DEPENDENT} were written by the code of commit d679fcc, the first released
 * version with dependent jobs; all others by the code of the version in production.
 */
final class ProductionLiterals {
  static final String PLAIN =
      "{\"s\":{\"ref\":\"wk-000001\",\"runflokkur\":\"c\",\"eigandi\":\"red\",\"gerd\":\"batch\","
          + "\"forgang\":\"normal\",\"verkbitar\":3,\"cpus\":1.0,\"accelerators\":0.0,"
          + "\"memory_gb\":1.0,\"mynd\":\"img-1\",\"pull_gb\":1.0,\"together\":false,"
          + "\"scatter\":false,\"lanvelar\":true,\"aaetlun_s\":10.0,\"vista_bil_s\":0.0,"
          + "\"vistun_s\":0.0},\"t\":1700000000123,\"p\":127,\"h\":0,\"d\":\"\",\"o\":[]}";

  /** A record with all optional fields. */
  static final String FULL =
      "{\"s\":{\"ref\":\"wk-000412\",\"runflokkur\":\"c\",\"eigandi\":\"red\",\"gerd\":\"group\","
          + "\"forgang\":\"high\",\"verkbitar\":2,\"cpus\":1.0,\"accelerators\":1.0,"
          + "\"memory_gb\":1.0,\"mynd\":\"img-1\",\"pull_gb\":1.0,"
          + "\"velagerdir\":[\"g8\",\"small\"],\"svaedi\":\"east\",\"together\":true,"
          + "\"scatter\":false,\"lanvelar\":true,\"aaetlun_s\":10.0,\"vista_bil_s\":30.0,"
          + "\"vistun_s\":4.0,\"skiladagur_s\":900.0},"
          + "\"t\":1700000000123,\"p\":127,\"h\":0,\"d\":\"\",\"o\":[]}";

  /** A job of twenty tasks in segments of eight, up to the task fields of its first segment. */
  static final String TWENTY =
      "{\"s\":{\"ref\":\"wk-000002\",\"runflokkur\":\"c\",\"eigandi\":\"red\",\"gerd\":\"batch\","
          + "\"forgang\":\"normal\",\"verkbitar\":20,\"cpus\":1.0,\"accelerators\":0.0,"
          + "\"memory_gb\":1.0,\"mynd\":\"img-1\",\"pull_gb\":1.0,\"together\":false,"
          + "\"scatter\":false,\"lanvelar\":true,\"aaetlun_s\":10.0,\"vista_bil_s\":0.0,"
          + "\"vistun_s\":0.0},\"t\":1700000000123,\"p\":8,";

  static final String OPEN = TWENTY + "\"h\":3,\"d\":\"0-2,5\",\"o\":[\"1:n-000007:1:0:3-4,6-7\"]}";
  static final String SECOND = "{\"d\":\"8-9\",\"o\":[\"2:n-000009:3:1:10-11\"]}";
  static final String THIRD = "{\"d\":\"\",\"o\":[\"3:n-000008:2:1:16-17\"]}";
  static final String MERGED =
      TWENTY + "\"h\":4,\"f\":\"1\",\"d\":\"0-2,5\",\"o\":[\"1:n-000007:1:0:3-4,6-7\"]}";
  static final String CANCELLED =
      TWENTY + "\"h\":4,\"c\":true,\"f\":\"1\",\"d\":\"0-2,5\",\"o\":[\"1:n-000007:1:0:3-4,6-7\"]}";

  // ---- written by the code of commit d679fcc --------------------------------------------------

  /** A job of twenty tasks with two dependencies, up to its segment size. */
  static final String DEPENDENT_TWENTY =
      "{\"s\":{\"ref\":\"wk-000002\",\"runflokkur\":\"c\",\"eigandi\":\"red\",\"gerd\":\"batch\","
          + "\"forgang\":\"normal\",\"verkbitar\":20,\"cpus\":1.0,\"accelerators\":0.0,"
          + "\"memory_gb\":1.0,\"mynd\":\"img-1\",\"pull_gb\":1.0,\"together\":false,"
          + "\"scatter\":false,\"lanvelar\":true,\"aaetlun_s\":10.0,\"vista_bil_s\":0.0,"
          + "\"vistun_s\":0.0,\"bidur_eftir\":[\"wk-000398\",\"wk-000405\"]},"
          + "\"t\":1700000000123,";

  static final String WAITING = DEPENDENT_TWENTY + "\"p\":127,\"h\":0,\"d\":\"\",\"o\":[]}";

  /** A job cancelled by a dependency: no task ever started, and all later segments are merged. */
  static final String WAITING_CANCELLED =
      DEPENDENT_TWENTY + "\"p\":8,\"h\":0,\"c\":true,\"f\":\"1-2\",\"d\":\"\",\"o\":[]}";

  static final String DEPENDENT_OPEN =
      DEPENDENT_TWENTY + "\"p\":8,\"h\":3,\"d\":\"0-2,5\",\"o\":[\"1:n-000007:1:0:3-4,6-7\"]}";
  static final String DEPENDENT_MERGED =
      DEPENDENT_TWENTY
          + "\"p\":8,\"h\":4,\"f\":\"1\",\"d\":\"0-2,5\",\"o\":[\"1:n-000007:1:0:3-4,6-7\"]}";
  static final String DEPENDENT_CANCELLED =
      DEPENDENT_TWENTY
          + "\"p\":8,\"h\":4,\"c\":true,\"f\":\"1\",\"d\":\"0-2,5\","
          + "\"o\":[\"1:n-000007:1:0:3-4,6-7\"]}";

  private ProductionLiterals() {}

  static String text(JsonNode value) {
    return new String(Json.bytes(value), StandardCharsets.UTF_8);
  }

  static JsonNode json(String text) throws WireException {
    return Json.parse(text.getBytes(StandardCharsets.UTF_8));
  }

  static String literal(String name) {
    return switch (name) {
      case "plain" -> PLAIN;
      case "full" -> FULL;
      case "open" -> OPEN;
      case "merged" -> MERGED;
      case "cancelled" -> CANCELLED;
      case "waiting" -> WAITING;
      case "waiting, cancelled" -> WAITING_CANCELLED;
      case "dependent, open" -> DEPENDENT_OPEN;
      case "dependent, merged" -> DEPENDENT_MERGED;
      case "dependent, cancelled" -> DEPENDENT_CANCELLED;
      default -> throw new IllegalArgumentException(name);
    };
  }
}
