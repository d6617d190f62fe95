package org.ternhinge.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;

/**
 * Reading and writing of JSON trees. Trees instead of bound classes keep the start of the process
 * cheap and let each field's error be told in the protocol's own words.
 */
public final class Json {
  private static final ObjectMapper MAPPER =
      new ObjectMapper(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder().maxNestingDepth(40).build())
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** The largest amount of anything. */
  static final double MOST = 1e9;

  private Json() {}

  static JsonParser parser(byte[] body) throws IOException {
    return MAPPER.getFactory().createParser(body);
  }

  static JsonGenerator generator(OutputStream to) throws IOException {
    return MAPPER.getFactory().createGenerator(to);
  }

  /** Parses a body. */
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

  /** Writes a value. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree can always be written", e);
    }
  }

  /** An empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** An empty list. */
  public static ArrayNode array() {
    return MAPPER.createArrayNode();
  }

  /** A text that has to be there. */
  public static String text(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isTextual()) {
      throw new WireException(field + ": a string is needed");
    }
    return node.textValue();
  }

  /** A string, or null where the field is null or omitted. */
  public static String textOrNull(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    return node == null || node.isNull() ? null : text(object, field);
  }

  /** An amount that has to be there, not negative. */
  public static double amount(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isNumber()) {
      throw new WireException(field + ": a number is needed");
    }
    double value = node.doubleValue();
    if (!(value >= 0 && value <= MOST)) {
      throw new WireException(field + ": out of range");
    }
    return value;
  }

  /** An amount, or null where it is null or omitted. */
  public static Double amountOrNull(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    return node == null || node.isNull() ? null : (Double) amount(object, field);
  }

  /** A whole number that has to be there, not negative. */
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

  /** A flag that has to be there. */
  public static boolean flag(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isBoolean()) {
      throw new WireException(field + ": true or false is needed");
    }
    return node.booleanValue();
  }

  /** A list that has to be there. */
  public static JsonNode list(JsonNode object, String field) throws WireException {
    JsonNode node = object.get(field);
    if (node == null || !node.isArray()) {
      throw new WireException(field + ": a list is needed");
    }
    return node;
  }
}
