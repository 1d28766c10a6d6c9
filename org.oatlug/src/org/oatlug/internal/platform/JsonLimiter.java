// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.platform;

/**
 * Replaces the values of a JSON text that exceed the limits of a parser by {@code null}, so that
 * such a value of one object does not hide the other objects of the text.
 *
 * <p>Takes one pass, and memory for the result only, however deep the values are nested. A text
 * that is not valid JSON remains invalid. Immutable, thread-safe.
 *
 * @param maximumDepth the maximum nesting depth of objects and arrays
 * @param maximumNumberLength the maximum length of a number, in characters
 */
record JsonLimiter(int maximumDepth, int maximumNumberLength) {

  /** Returns the text without values that exceed the limits. */
  String limit(String text) {
    StringBuilder limited = new StringBuilder(text.length());
    int depth = 0;
    int position = 0;
    while (position < text.length()) {
      char character = text.charAt(position);
      int end = position + 1;
      boolean excessive = false;
      if (character == '"') {
        end = endOfString(text, position);
      } else if (isOpening(character)) {
        excessive = depth == maximumDepth;
        depth += excessive ? 0 : 1;
        end = excessive ? endOfContainer(text, position) : end;
      } else if (isClosing(character)) {
        depth--;
      } else if (isPartOfNumber(character)) {
        end = endOfNumber(text, position);
        excessive = end - position > maximumNumberLength;
      }
      if (excessive) {
        limited.append("null");
      } else {
        limited.append(text, position, end);
      }
      position = end;
    }
    return limited.toString();
  }

  private static boolean isOpening(char character) {
    return character == '{' || character == '[';
  }

  private static boolean isClosing(char character) {
    return character == '}' || character == ']';
  }

  /** Returns whether a character outside strings may belong to a number; so may 'e' in a name. */
  private static boolean isPartOfNumber(char character) {
    return character >= '0' && character <= '9' || "+-.eE".indexOf(character) >= 0;
  }

  private static int endOfString(String text, int start) {
    int position = start + 1;
    while (position < text.length() && text.charAt(position) != '"') {
      position += text.charAt(position) == '\\' ? 2 : 1;
    }
    return Math.min(position + 1, text.length());
  }

  private static int endOfNumber(String text, int start) {
    int position = start + 1;
    while (position < text.length() && isPartOfNumber(text.charAt(position))) {
      position++;
    }
    return position;
  }

  /** Returns the position after the end of an object or array; that of the text if it has none. */
  private static int endOfContainer(String text, int start) {
    int depth = 0;
    int position = start;
    while (position < text.length()) {
      char character = text.charAt(position);
      position = character == '"' ? endOfString(text, position) : position + 1;
      depth += isOpening(character) ? 1 : isClosing(character) ? -1 : 0;
      if (depth == 0) {
        return position;
      }
    }
    return position;
  }
}
