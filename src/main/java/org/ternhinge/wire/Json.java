package org.ternhinge.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.OptionalDouble;
import org.ternhinge.model.Outcome;

/**
 * Reads and writes JSON trees. Compared with data binding, trees shorten the start-up of the
 * process and allow each error to name the field as the protocol does.
 */
public final class Json {
  /** Upper bound of any amount in a message. */
  static final double MAX_AMOUNT = 1e9;

  private static final int MAX_NESTING_DEPTH = 40;

  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Converts a JSON tree into a value. */
  public interface Reader<T> {
    /** Reads the value. */
    T read(JsonNode body) throws WireException;
  }

  private Json() {}

  static JsonParser parser(byte[] body) throws IOException {
    return MAPPER.getFactory().createParser(body);
  }

  static JsonGenerator generator(OutputStream to) throws IOException {
    return MAPPER.getFactory().createGenerator(to);
  }

  /** Decodes a response body; the outcome of a request with a malformed response is unknown. */
  public static <T> Outcome<T> decode(byte[] body, Reader<T> reader) {
    try {
      return Outcome.applied(reader.read(parse(body)));
    } catch (WireException e) {
      return Outcome.unknown(e.getMessage());
    }
  }

  /** Parses the body of a message. */
  public static JsonNode parse(byte[] body) throws WireException {
    try {
      JsonNode node = MAPPER.readTree(body);
      if (node == null || node.isMissingNode()) {
        throw new WireException("empty body");
      }
      return node;
    } catch (IOException | RuntimeException e) {
      throw new WireException("not JSON");
    }
  }

  /** Serializes a tree. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("JSON tree could not be serialized", e);
    }
  }

  /** Creates an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Reads a required string. */
  public static String text(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isTextual()) {
      throw new WireException(field + ": a string is needed");
    }
    return node.textValue();
  }

  /** Reads an optional string; empty if the field is null or omitted. */
  public static Optional<String> optionalText(JsonNode object, String field) throws WireException {
    return isAbsent(object, field) ? Optional.empty() : Optional.of(text(object, field));
  }

  /** Whether a field is null or omitted. */
  static boolean isAbsent(JsonNode object, String field) {
    JsonNode node = object.get(field);
    return node == null || node.isNull();
  }

  /** Reads a required number from 0 to {@link #MAX_AMOUNT}. */
  public static double amount(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isNumber()) {
      throw new WireException(field + ": a number is needed");
    }
    double value = node.doubleValue();
    if (!(value >= 0 && value <= MAX_AMOUNT)) {
      throw new WireException(field + ": out of range");
    }
    return value;
  }

  /** Reads an optional {@link #amount}; empty if the field is null or omitted. */
  public static OptionalDouble optionalAmount(JsonNode object, String field) throws WireException {
    return isAbsent(object, field)
        ? OptionalDouble.empty()
        : OptionalDouble.of(amount(object, field));
  }

  /** Reads a required non-negative integer. */
  public static long count(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isIntegralNumber() || !node.canConvertToLong()) {
      throw new WireException(field + ": an integer is needed");
    }
    long value = node.longValue();
    if (value < 0) {
      throw new WireException(field + ": out of range");
    }
    return value;
  }

  /** Reads a required boolean. */
  public static boolean flag(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isBoolean()) {
      throw new WireException(field + ": true or false is needed");
    }
    return node.booleanValue();
  }

  /** Reads a required list. */
  public static JsonNode list(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isArray()) {
      throw new WireException(field + ": a list is needed");
    }
    return node;
  }
}
