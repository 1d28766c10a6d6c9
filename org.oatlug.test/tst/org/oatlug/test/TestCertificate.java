// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.test;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.util.Base64;
import java.util.List;

/** A certificate of its own for 127.0.0.1, made by the JDK's key tool, as PEM files. Immutable. */
record TestCertificate(Path certificate, Path key) {
  private static final String PASSWORD = "changeit";
  private static final String ALIAS = "test";
  private static final Base64.Encoder ENCODER =
      Base64.getMimeEncoder(64, "\n".getBytes(StandardCharsets.UTF_8));

  static TestCertificate create(Path directory) throws IOException {
    Path store = directory.resolve("test.p12");
    Path tool = Path.of(System.getProperty("java.home"), "bin", "keytool");
    List<String> command =
        List.of(
            tool.toString(),
            "-genkeypair",
            "-alias",
            ALIAS,
            "-keyalg",
            "EC",
            "-dname",
            "CN=127.0.0.1",
            "-ext",
            "san=ip:127.0.0.1",
            "-storetype",
            "PKCS12",
            "-keystore",
            store.toString(),
            "-storepass",
            PASSWORD);
    new ProcessBuilder(command).redirectErrorStream(true).start().onExit().join();
    try (InputStream stream = Files.newInputStream(store)) {
      KeyStore keys = KeyStore.getInstance("PKCS12");
      keys.load(stream, PASSWORD.toCharArray());
      Path certificate = directory.resolve("test-certificate.pem");
      Path key = directory.resolve("test-key.pem");
      write(certificate, "CERTIFICATE", keys.getCertificate(ALIAS).getEncoded());
      write(key, "PRIVATE KEY", keys.getKey(ALIAS, PASSWORD.toCharArray()).getEncoded());
      return new TestCertificate(certificate, key);
    } catch (GeneralSecurityException e) {
      throw new IOException(e);
    }
  }

  private static void write(Path file, String kind, byte[] content) throws IOException {
    String body = ENCODER.encodeToString(content);
    Files.writeString(
        file, "-----BEGIN " + kind + "-----\n" + body + "\n-----END " + kind + "-----\n");
  }
}
