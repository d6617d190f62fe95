package org.ternhinge.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Pull parser for JSON messages, used for heartbeats, of which hundreds arrive every second:
 * building a tree of each took more time than processing it.
 */
final class JsonStreamReader implements AutoCloseable {
  private final JsonParser parser;

  JsonStreamReader(byte[] body) throws IOException {
    parser = Json.parser(body);
  }

  /** Reads the start of an object. */
  void beginObject() throws IOException, WireException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new WireException("not an object");
    }
  }

  /**
   * Advances to the value of the next field and returns the field's name, or null at the end of the
   * object. An Optional would be allocated for each field of each heartbeat.
   */
  String nextField() throws IOException {
    if (parser.nextToken() == JsonToken.END_OBJECT) {
      return null;
    }
    String name = parser.currentName();
    parser.nextToken();
    return name;
  }

  /** Skips the current value, which may be of any type. */
  void skip() throws IOException {
    parser.skipChildren();
  }

  /** Checks that the current value is a list. */
  void beginList(String field) throws WireException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new WireException(field + ": a list is needed");
    }
  }

  /** Advances to the next object of a list; returns false at the end of the list. */
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

  /** Returns the current value, which must be a string. */
  String text(String field) throws IOException, WireException {
    if (parser.currentToken() != JsonToken.VALUE_STRING) {
      throw new WireException(field + ": a string is needed");
    }
    return parser.getText();
  }

  /** Whether the current value is null. */
  boolean isNull() {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  /** Returns the current value, which must be a number from 0 to {@link Json#MAX_AMOUNT}. */
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

  /** Returns the current value, which must be a non-negative integer. */
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

  /** Returns the current value, which must be a boolean. */
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
