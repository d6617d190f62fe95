package org.ternhinge.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoublePredicate;

/**
 * Typed access to the values of an HCL file or of one block in it. A value that was taken is no
 * longer there, so that what is left at the end are slips.
 */
final class HclValues {
  private static final String WHERE = "tuning: ";

  /** Path of the block with a dot behind it; empty for the file itself. */
  private final String path;

  private final Map<String, Object> values = new HashMap<>();

  private HclValues(String path, Map<?, ?> parsed) {
    this.path = path;
    parsed.forEach((key, value) -> values.put(String.valueOf(key), value));
  }

  /** The values of a whole file. */
  static HclValues file(Map<String, Object> parsed) {
    return new HclValues("", parsed);
  }

  /** The values of a block, which may appear only once. */
  static HclValues block(String path, Object block) throws SettingsException {
    if (block instanceof List<?>) {
      throw new SettingsException(WHERE + path + ": appears twice");
    }
    if (!(block instanceof Map<?, ?> map)) {
      throw new SettingsException(WHERE + path + ": a block is needed");
    }
    return new HclValues(path + ".", map);
  }

  /** The full path of a name, for messages. */
  String key(String name) {
    return path + name;
  }

  /** An error with its key and reason. */
  SettingsException error(String name, String reason) {
    return new SettingsException(WHERE + key(name) + ": " + reason);
  }

  /** Takes a value of any kind, or null. */
  Object take(String name) {
    return values.remove(name);
  }

  double between(String name, double otherwise, double least, double most)
      throws SettingsException {
    return number(
        name,
        otherwise,
        value -> value >= least && value <= most,
        "a number from " + least + " to " + most + " is needed");
  }

  double above0(String name, double otherwise, double most) throws SettingsException {
    return number(
        name,
        otherwise,
        value -> value > 0 && value <= most,
        "a number above 0 and up to " + most + " is needed");
  }

  int whole(String name, int otherwise, int least, int most) throws SettingsException {
    return (int)
        number(
            name,
            otherwise,
            value -> value >= least && value <= most && value == Math.rint(value),
            "a whole number from " + least + " to " + most + " is needed");
  }

  private double number(String name, double otherwise, DoublePredicate allowed, String reason)
      throws SettingsException {
    Object value = take(name);
    if (value == null) {
      return otherwise;
    }
    if (!(value instanceof Number number) || !allowed.test(number.doubleValue())) {
      throw error(name, reason);
    }
    return number.doubleValue();
  }

  boolean flag(String name, boolean otherwise) throws SettingsException {
    Object value = take(name);
    if (value == null) {
      return otherwise;
    }
    if (!(value instanceof Boolean set)) {
      throw error(name, "true or false is needed");
    }
    return set;
  }

  /** A name, which has to be there. */
  String name(String key) throws SettingsException {
    if (!(take(key) instanceof String text) || text.isBlank() || text.contains(" ")) {
      throw error(key, "a name without spaces is needed");
    }
    return text;
  }

  /** A list, or null where there is none. */
  List<Object> list(String key) throws SettingsException {
    Object value = take(key);
    if (value == null) {
      return null;
    }
    if (!(value instanceof List<?> list)) {
      throw error(key, "a list is needed");
    }
    return new ArrayList<>(list);
  }

  /** A set of names; empty where there is none. */
  Set<String> names(String key) throws SettingsException {
    List<Object> list = list(key);
    Set<String> names = new LinkedHashSet<>();
    for (Object value : list == null ? List.of() : list) {
      if (!(value instanceof String text) || !names.add(text)) {
        throw error(key, "a list of names is needed, each once");
      }
    }
    return names;
  }

  /** Whatever was not taken is a slip. */
  void expectNothingElse() throws SettingsException {
    if (!values.isEmpty()) {
      throw new SettingsException(WHERE + "unknown name " + key(values.keySet().iterator().next()));
    }
  }
}
