package org.ternhinge.wire;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads a message token by token, for those that come by the hundred a second: building a tree of
 * each heartbeat first cost more than all that was then done with it.
 */
final class JsonStreamReader implements AutoCloseable {
  private final JsonParser parser;

  JsonStreamReader(byte[] body) throws IOException {
    parser = Json.parser(body);
  }

  /** Takes the next token for the beginning of an object. */
  void beginObject() throws IOException, WireException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new WireException("not an object");
    }
  }

  /** The next field's name, its value at hand; null at the end of the object. */
  String nextField() throws IOException {
    if (parser.nextToken() == JsonToken.END_OBJECT) {
      return null;
    }
    String name = parser.currentName();
    parser.nextToken();
    return name;
  }

  /** Passes over the value at hand, whatever it is. */
  void skip() throws IOException {
    parser.skipChildren();
  }

  void beginList(String field) throws WireException {
    if (parser.currentToken() != JsonToken.START_ARRAY) {
      throw new WireException(field + ": a list is needed");
    }
  }

  /** Whether the list has another object, which then begins. */
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

  String text(String field) throws IOException, WireException {
    if (parser.currentToken() != JsonToken.VALUE_STRING) {
      throw new WireException(field + ": a string is needed");
    }
    return parser.getText();
  }

  boolean isNull() {
    return parser.currentToken() == JsonToken.VALUE_NULL;
  }

  double amount(String field) throws IOException, WireException {
    if (!parser.currentToken().isNumeric()) {
      throw new WireException(field + ": a number is needed");
    }
    double value = parser.getDoubleValue();
    if (!(value >= 0 && value <= Json.MOST)) {
      throw new WireException(field + ": out of range");
    }
    return value;
  }

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

  boolean flag(String field) throws WireException {
    JsonToken token = parser.currentToken();
    if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE) {
      throw new WireException(field + ": true or false is needed");
    }
    return token == JsonToken.VALUE_TRUE;
  }

  /** Nothing may follow the message. */
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
