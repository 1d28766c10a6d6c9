// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import java.util.Optional;
import org.oatlug.config.Settings;

/** Puts the files of TLS into the options of a server. Stateless, thread-safe. */
public final class TlsFiles {
  private TlsFiles() {}

  /** Switches TLS on if there are files for it. */
  public static void apply(Optional<Settings.Tls> tls, NetServerOptions options) {
    if (tls.isPresent()) {
      PemKeyCertOptions files = new PemKeyCertOptions();
      files.addCertPath(tls.get().certificate());
      files.addKeyPath(tls.get().key());
      options.setSsl(true).setKeyCertOptions(files);
    }
  }
}
