package org.ternhinge.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each unreadable record is logged once, in bounded memory. */
class UnreadableRecordLogTest {
  private final List<String> logged = new ArrayList<>();
  private final UnreadableRecordLog log = new UnreadableRecordLog((key, reason) -> logged.add(key));

  /** Guards against one log line for each poll of a job. */
  @Test
  void recordIsLoggedOnce() {
    for (int i = 0; i < 5; i++) {
      log.report("j/wk-1", "d: malformed");
      log.report("j/wk-2", "d: malformed");
    }
    assertEquals(List.of("j/wk-1", "j/wk-2"), logged);
  }

  /** Guards against memory that grows with the number of unreadable records. */
  @Test
  void rememberedKeysAreBounded() {
    for (int i = 0; i <= UnreadableRecordLog.MAX_KEYS; i++) {
      log.report("j/wk-" + i, "d: malformed");
    }
    log.report("j/wk-0", "d: malformed");
    assertEquals(UnreadableRecordLog.MAX_KEYS + 2, logged.size(), "the oldest was dropped");
  }
}
