// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Shows that only the adapter knows the names of the users' platform, and that it stays small. */
public class PlatformWordsTest {
  private static final int MOST_ADAPTER_LINES = 1500;

  /** Names of the wire, and the platform's words for what this project names otherwise. */
  private static final Pattern FOREIGN =
      Pattern.compile(
          "Attempt-Id|Request-Deadline|Prefix-Hash|Token-Usage|Target-Instance|Response-Signature"
              + "|Not-Executed|Server-Load|Request-Priority|Weight-Versions|Length-Hint|Kv-|kv-"
              + "|api-keys|path-prefix|max-attempts|timeout-ms|wait-ms|as-of|more-pages|since-rev"
              + "|weighted-backends|gap-aim|/objects/(config|servers|rollouts)|OATLUG_BOOT"
              + "|(?i:\\btenants?\\b|\\bmachines?\\b|\\bback.?ends?\\b)");

  /** The logging library has a package that is called like the platform's word for upstreams. */
  private static final Pattern LIBRARY_IMPORT =
      Pattern.compile("import com\\.google\\.common\\.flogger\\.backend\\.[\\w.]+;");

  private static Path root() {
    Path here = Path.of("").toAbsolutePath();
    return here.endsWith("org.oatlug.test") ? here.getParent() : here;
  }

  private static List<Path> sources(String directory) throws IOException {
    try (Stream<Path> files = Files.walk(root().resolve(directory))) {
      return files
          .filter(file -> file.toString().matches(".*\\.(java|json|properties|xml)"))
          .filter(file -> !file.endsWith("pom.xml"))
          .toList();
    }
  }

  @Test
  public void testNoForeignNameStandsOutsideTheAdapter() throws IOException {
    List<String> found = new ArrayList<>();
    for (String module : List.of("org.oatlug", "org.oatlug.entry", "org.oatlug.pgm")) {
      for (Path file : sources(module)) {
        for (String line : Files.readAllLines(file)) {
          boolean ofLibrary = LIBRARY_IMPORT.matcher(line).matches();
          if (!ofLibrary && FOREIGN.matcher(line).find()) {
            found.add(root().relativize(file) + ": " + line.trim());
          }
        }
      }
    }
    assertEquals(found, List.of());
  }

  @Test
  public void testAdapterStaysSmall() throws IOException {
    long lines = 0;
    for (Path file : sources("platform/src")) {
      lines += Files.readAllLines(file).size();
    }
    assertTrue(lines > 0 && lines < MOST_ADAPTER_LINES, "lines " + lines);
  }
}
