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

/** Tests that only the adapter uses the terms of the users' platform, and that it stays small. */
public class PlatformWordsTest {
  private static final int MAXIMUM_ADAPTER_LINES = 1500;

  /** Wire names, and the platform's terms for things that this project names differently. */
  private static final Pattern PLATFORM_TERMS =
      Pattern.compile(
          "Attempt-Id|Request-Deadline|Prefix-Hash|Token-Usage|Target-Instance|Response-Signature"
              + "|Not-Executed|Server-Load|Request-Priority|Weight-Versions|Length-Hint|Kv-|kv-"
              + "|api-keys|path-prefix|max-attempts|timeout-ms|wait-ms|as-of|more-pages|since-rev"
              + "|weighted-backends|gap-aim|/objects/(config|servers|rollouts)|OATLUG_BOOT"
              + "|(?i:\\btenants?\\b|\\bmachines?\\b|\\bback.?ends?\\b)");

  /** A package of the logging library, whose name is also the platform's term for an upstream. */
  private static final Pattern LIBRARY_IMPORT =
      Pattern.compile("import com\\.google\\.common\\.flogger\\.backend\\.[\\w.]+;");

  private static Path root() {
    Path workingDirectory = Path.of("").toAbsolutePath();
    return workingDirectory.endsWith("org.oatlug.test")
        ? workingDirectory.getParent()
        : workingDirectory;
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
  public void testPlatformTermsAreUsedOnlyInTheAdapter() throws IOException {
    List<String> violations = new ArrayList<>();
    for (String module : List.of("org.oatlug", "org.oatlug.entry", "org.oatlug.pgm")) {
      for (Path file : sources(module)) {
        for (String line : Files.readAllLines(file)) {
          boolean isLibraryImport = LIBRARY_IMPORT.matcher(line).matches();
          if (!isLibraryImport && PLATFORM_TERMS.matcher(line).find()) {
            violations.add(root().relativize(file) + ": " + line.trim());
          }
        }
      }
    }
    assertEquals(violations, List.of());
  }

  @Test
  public void testAdapterStaysSmall() throws IOException {
    long lines = 0;
    for (Path file : sources("platform/src")) {
      lines += Files.readAllLines(file).size();
    }
    assertTrue(lines > 0 && lines < MAXIMUM_ADAPTER_LINES, "lines " + lines);
  }
}
