package org.ternhinge.sim;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Violations of protocol rules, in the order of detection. */
final class RuleViolations {
  private final List<String> all = new ArrayList<>();

  /** Records a violation; the text begins with the name of the rule. */
  void add(String violation) {
    all.add(violation);
  }

  List<String> all() {
    return Collections.unmodifiableList(all);
  }
}
