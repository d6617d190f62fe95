package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The rules of the protocol that were broken, in the order in which that was seen. */
final class RuleViolations {
  private final List<String> all = new ArrayList<>();

  /** Notes one violation; the text begins with the rule's name. */
  void add(String violation) {
    all.add(violation);
  }

  List<String> all() {
    return Collections.unmodifiableList(all);
  }
}
