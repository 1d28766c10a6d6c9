// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.pgm;

import java.util.ArrayList;
import java.util.List;

/** Plain-text table with aligned columns. Used from one thread. */
final class TextTable {
  private static final String GAP = "  ";

  private final List<String[]> rows = new ArrayList<>();

  private TextTable(String[] titles) {
    rows.add(titles);
  }

  static TextTable titled(String... titles) {
    return new TextTable(titles);
  }

  void add(String... cells) {
    rows.add(cells);
  }

  @Override
  public String toString() {
    int[] widths = new int[rows.get(0).length];
    for (String[] row : rows) {
      for (int column = 0; column < row.length; column++) {
        widths[column] = Math.max(widths[column], row[column].length());
      }
    }
    StringBuilder text = new StringBuilder();
    for (String[] row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.length; column++) {
        line.append(row[column]);
        line.append(" ".repeat(widths[column] - row[column].length())).append(GAP);
      }
      text.append(line.toString().stripTrailing()).append(System.lineSeparator());
    }
    return text.toString().stripTrailing();
  }
}
