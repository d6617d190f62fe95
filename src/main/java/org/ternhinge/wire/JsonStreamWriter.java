package org.ternhinge.wire;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Writes a JSON message field by field; the counterpart of {@link JsonStreamReader}. Hundreds of
 * heartbeat responses are written every second; building a tree of each would only add garbage.
 */
final class JsonStreamWriter {
  /** Sufficient for a response without commands, the most frequent case. */
  private static final int INITIAL_BYTES = 64;

  /** A call of the JSON generator, which may throw. */
  private interface GeneratorCall {
    void run() throws IOException;
  }

  private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(INITIAL_BYTES);
  private final JsonGenerator generator;

  JsonStreamWriter() {
    try {
      generator = Json.generator(buffer);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  void beginObject() {
    write(generator::writeStartObject);
  }

  void endObject() {
    write(generator::writeEndObject);
  }

  void beginList(String field) {
    write(() -> generator.writeArrayFieldStart(field));
  }

  void endList() {
    write(generator::writeEndArray);
  }

  void field(String name, String value) {
    write(() -> generator.writeStringField(name, value));
  }

  void field(String name, long value) {
    write(() -> generator.writeNumberField(name, value));
  }

  void field(String name, double value) {
    write(() -> generator.writeNumberField(name, value));
  }

  /** Completes the message and returns it; no further writes are allowed. */
  byte[] bytes() {
    write(generator::close);
    return buffer.toByteArray();
  }

  private static void write(GeneratorCall step) {
    try {
      step.run();
    } catch (IOException e) {
      throw new UncheckedIOException("JSON message could not be written to memory", e);
    }
  }
}
