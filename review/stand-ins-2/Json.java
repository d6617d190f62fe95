import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, lists are lists, numbers are Long or Double. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.space();
    if (json.at != text.length()) {
      throw new IllegalArgumentException("not JSON");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  /** Makes an object of alternating names and values. */
  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> out = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      out.put((String) pairs[i], pairs[i + 1]);
    }
    return out;
  }

  static long count(Map<String, Object> object, String field, long otherwise) {
    Object value = object.get(field);
    return value == null ? otherwise : ((Number) value).longValue();
  }

  static double amount(Map<String, Object> object, String field, double otherwise) {
    Object value = object.get(field);
    return value == null ? otherwise : ((Number) value).doubleValue();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      String separator = "{";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append(map.isEmpty() ? "{}" : "}");
    } else if (value instanceof List<?> list) {
      out.append('[');
      for (int i = 0; i < list.size(); i++) {
        out.append(i == 0 ? "" : ",");
        write(list.get(i), out);
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char c : string.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value instanceof BigDecimal decimal ? decimal.toPlainString() : value);
    }
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private char next() {
    space();
    if (at >= text.length()) {
      throw new IllegalArgumentException("not JSON");
    }
    return text.charAt(at);
  }

  private Object value() {
    char c = next();
    if (c == '{') {
      return map();
    }
    if (c == '[') {
      return list();
    }
    if (c == '"') {
      return string();
    }
    for (String word : List.of("true", "false", "null")) {
      if (text.startsWith(word, at)) {
        at += word.length();
        return word.equals("null") ? null : (Object) Boolean.valueOf(word);
      }
    }
    int start = at;
    while (at < text.length() && "+-.0123456789eE".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String number = text.substring(start, at);
    if (number.matches("-?[0-9]+")) {
      return Long.valueOf(number);
    }
    return Double.valueOf(number);
  }

  private Map<String, Object> map() {
    Map<String, Object> out = new LinkedHashMap<>();
    at++;
    while (next() != '}') {
      String name = string();
      if (next() != ':') {
        throw new IllegalArgumentException("not JSON");
      }
      at++;
      out.put(name, value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return out;
  }

  private List<Object> list() {
    List<Object> out = new ArrayList<>();
    at++;
    while (next() != ']') {
      out.add(value());
      if (next() == ',') {
        at++;
      }
    }
    at++;
    return out;
  }

  private String string() {
    if (next() != '"') {
      throw new IllegalArgumentException("not JSON");
    }
    StringBuilder out = new StringBuilder();
    for (at++; text.charAt(at) != '"'; at++) {
      char c = text.charAt(at);
      if (c == '\\') {
        c = text.charAt(++at);
        switch (c) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'b' -> out.append('\b');
          case 'f' -> out.append('\f');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
            at += 4;
          }
          default -> out.append(c);
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }
}
