import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, with the seconds since the start. */
final class Record {
  private final PrintWriter out;
  private final long start = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  double now() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String format, Object... values) {
    out.println(String.format(Locale.ROOT, "%8.3f ", now()) + String.format(Locale.ROOT, format, values));
  }
}
