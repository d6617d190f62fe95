package org.ternhinge.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads a message token by token. For heartbeats, of which hundreds arrive every second: building a
 * tree of each took more time than its processing.
 */
final class JsonStreamReader implements AutoCloseable {
  private final JsonParser parser;

  JsonStreamReader(byte[] body) throws IOException {
    parser = Json.parser(body);
  }

  /** Reads the beginning of an object. */
  void beginObject() throws IOException, WireException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new WireException("not an object");
    }
  }

  /**
   * Moves to the value of the next field and returns its name, or null at the end of the object. No
   * Optional, which would be allocated for each field of each heartbeat.
   */
  String nextField() throws IOException {
    if (parser.nextToken() == JsonToken.END_OBJECT) {
      return null;
    }
    String name = parser.currentName();
    parser.nextToken();
    return name;
  }

  /** Skips the present value, of whatever type. */
  void skip() throws IOException {
    parser.skipChildren();
  }

  /** Checks that the present value is a list. */
  void beginList(String field) throws WireException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new WireException(field + ": a list is needed");
    }
  }

  /** Moves to the next object of a list; false at the end of the list. */
  boolean nextObject() throws IOException, WireException {
    JsonToken token = parser.nextToken();
    if (token == JsonToken.END_ARRAY) {
      return false;
    }
    if (token != JsonToken.START_OBJECT) {
      throw new WireException("not an object");
    }
    return true;
  }

  /** The present value, a string. */
  String text(String field) throws IOException, WireException {
    if (parser.currentToken() != JsonToken.VALUE_STRING) {
      throw new WireException(field + ": a string is needed");
    }
    return parser.getText();
  }

  /** Whether the present value is null. */
  boolean isNull() {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  /** The present value, a number that is not negative. */
  double amount(String field) throws IOException, WireException {
    if (!parser.currentToken().isNumeric()) {
      throw new WireException(field + ": a number is needed");
    }
    double value = parser.getDoubleValue();
    if (!(value >= 0 && value <= Json.MAX_AMOUNT)) {
      throw new WireException(field + ": out of range");
    }
    return value;
  }

  /** The present value, an integer that is not negative. */
  long count(String field) throws IOException, WireException {
    if (parser.currentToken() != JsonToken.VALUE_NUMBER_INT
        || parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      throw new WireException(field + ": an integer is needed");
    }
    long value = parser.getLongValue();
    if (value < 0) {
      throw new WireException(field + ": out of range");
    }
    return value;
  }

  /** The present value, a boolean. */
  boolean flag(String field) throws WireException {
    JsonToken token = parser.currentToken();
    if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
      throw new WireException(field + ": true or false is needed");
    }
    return token == JsonToken.VALUE_TRUE;
  }

  /** Checks that nothing follows the message. */
  void end() throws IOException, WireException {
    if (parser.nextToken() != null) {
      throw new WireException("not JSON");
    }
  }

  @Override
  public void close() throws IOException {
    parser.close();
  }
}
