package org.ternhinge.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoublePredicate;

/**
 * Typed access to the values of an HCL file or of one of its blocks. Reading a value removes it, so
 * that any values left after parsing have unknown names.
 */
final class HclValues {
  /** Prefix of all error messages. */
  private static final String MESSAGE_PREFIX = "tuning: ";

  /** Path of the block followed by a dot; empty for the file itself. */
  private final String path;

  private final Map<String, Object> values = new HashMap<>();

  private HclValues(String path, Map<?, ?> parsed) {
    this.path = path;
    parsed.forEach((key, value) -> values.put(String.valueOf(key), value));
  }

  /** Wraps the values of a whole file. */
  static HclValues file(Map<String, Object> parsed) {
    return new HclValues("", parsed);
  }

  /** Wraps the values of a block, which may appear only once. */
  static HclValues block(String path, Object block) throws SettingsException {
    if (block instanceof List<?>) {
      throw new SettingsException(MESSAGE_PREFIX + path + ": appears twice");
    }
    if (!(block instanceof Map<?, ?> map)) {
      throw new SettingsException(MESSAGE_PREFIX + path + ": a block is needed");
    }
    return new HclValues(path + ".", map);
  }

  /** Returns the full path of a name, for error messages. */
  String key(String name) {
    return path + name;
  }

  /** Creates an error that names the key and the reason. */
  SettingsException error(String name, String reason) {
    return new SettingsException(MESSAGE_PREFIX + key(name) + ": " + reason);
  }

  /** Removes and returns a value of any type. */
  Optional<Object> remove(String name) {
    return Optional.ofNullable(values.remove(name));
  }

  /** Reads a number within a range, both ends included. */
  double numberBetween(String name, double defaultValue, double min, double max)
      throws SettingsException {
    return number(
        name,
        defaultValue,
        value -> value >= min && value <= max,
        "a number from " + min + " to " + max + " is needed");
  }

  /** Reads a number above 0. */
  double positiveNumber(String name, double defaultValue, double max) throws SettingsException {
    return number(
        name,
        defaultValue,
        value -> value > 0 && value <= max,
        "a number above 0 and up to " + max + " is needed");
  }

  /** Reads a whole number within a range, both ends included. */
  int wholeNumber(String name, int defaultValue, int min, int max) throws SettingsException {
    return (int)
        number(
            name,
            defaultValue,
            value -> value >= min && value <= max && value == Math.rint(value),
            "a whole number from " + min + " to " + max + " is needed");
  }

  private double number(String name, double defaultValue, DoublePredicate allowed, String reason)
      throws SettingsException {
    Optional<Object> value = remove(name);
    if (value.isEmpty()) {
      return defaultValue;
    }
    if (!(value.get() instanceof Number number) || !allowed.test(number.doubleValue())) {
      throw error(name, reason);
    }
    return number.doubleValue();
  }

  /** Reads a boolean. */
  boolean flag(String name, boolean defaultValue) throws SettingsException {
    Optional<Object> value = remove(name);
    if (value.isEmpty()) {
      return defaultValue;
    }
    if (!(value.get() instanceof Boolean set)) {
      throw error(name, "true or false is needed");
    }
    return set;
  }

  /** Reads a name, which is required. */
  String requiredName(String key) throws SettingsException {
    if (!(values.remove(key) instanceof String text) || text.isBlank() || text.contains(" ")) {
      throw error(key, "a name without spaces is needed");
    }
    return text;
  }

  /** Reads a list; empty where the key is absent. */
  Optional<List<Object>> list(String key) throws SettingsException {
    Optional<Object> value = remove(key);
    if (value.isEmpty()) {
      return Optional.empty();
    }
    if (!(value.get() instanceof List<?> list)) {
      throw error(key, "a list is needed");
    }
    return Optional.of(new ArrayList<>(list));
  }

  /** Reads a set of names; empty where the key is absent. */
  Set<String> names(String key) throws SettingsException {
    Set<String> names = new LinkedHashSet<>();
    for (Object value : list(key).orElse(List.of())) {
      if (!(value instanceof String text) || !names.add(text)) {
        throw error(key, "a list of names is needed, each once");
      }
    }
    return names;
  }

  /** Fails if any value has not been read, since its name is unknown. */
  void rejectUnknownNames() throws SettingsException {
    if (!values.isEmpty()) {
      throw new SettingsException(
          MESSAGE_PREFIX + "unknown name " + key(values.keySet().iterator().next()));
    }
  }
}
