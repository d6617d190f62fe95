package org.ternhinge.model;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.BitSet;

/** Encodes sets of task indexes as ranges, such as {@code 0-12,15}, to keep records small. */
public final class TaskRanges {
  /** Exclusive upper bound of an index, so that a corrupt record cannot exhaust the memory. */
  private static final int INDEX_BOUND = 1_000_000;

  private TaskRanges() {}

  /** Encodes the members of a set from {@code from}, inclusive, to {@code to}, exclusive. */
  public static String encode(BitSet set, int from, int to) {
    StringBuilder out = new StringBuilder();
    int first = set.nextSetBit(from);
    while (first >= 0 && first < to) {
      int last = Math.min(set.nextClearBit(first), to) - 1;
      if (out.length() > 0) {
        out.append(',');
      }
      out.append(first);
      if (last > first) {
        out.append('-').append(last);
      }
      first = set.nextSetBit(last + 1);
    }
    return out.toString();
  }

  /**
   * Decodes ranges written by {@link #encode}.
   *
   * @throws IllegalArgumentException when the text is not a list of ranges
   */
  public static IntList decode(String text) {
    IntList out = new IntArrayList();
    if (text.isEmpty()) {
      return out;
    }
    for (String part : text.split(",", -1)) {
      int dash = part.indexOf('-');
      int first = Integer.parseInt(dash < 0 ? part : part.substring(0, dash));
      int last = dash < 0 ? first : Integer.parseInt(part.substring(dash + 1));
      if (first < 0 || last < first || last >= INDEX_BOUND) {
        throw new IllegalArgumentException("not a task range: " + part);
      }
      for (int i = first; i <= last; i++) {
        out.add(i);
      }
    }
    return out;
  }
}
