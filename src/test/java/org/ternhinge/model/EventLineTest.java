package org.ternhinge.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The text of structured log lines. */
class EventLineTest {
  @Test
  void fieldsAreSeparatedBySpacesAndContainNone() {
    EventLine line =
        EventLine.of("leadership-event", "ended")
            .with("term", 7)
            .with("reason", "the lease has ended")
            .with("detail", "")
            .withSeconds("valid_s", -1.25);
    assertEquals(
        "leadership-event ended term=7 reason=the_lease_has_ended detail=- valid_s=-1.250",
        line.toString());
  }
}
