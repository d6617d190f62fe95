import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with seconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  double now() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String text) {
    out.println(String.format("%8.3f  %s", now(), text));
    out.flush();
  }

  /** A line that is also shown on standard output. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }
}
