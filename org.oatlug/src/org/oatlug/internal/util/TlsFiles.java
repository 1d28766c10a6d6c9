// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.util;

import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import java.util.Optional;
import org.oatlug.config.Settings;

/** Configures the TLS certificate and key files of a server. Stateless, thread-safe. */
public final class TlsFiles {
  private TlsFiles() {}

  /** Enables TLS if certificate and key files are configured. */
  public static void apply(Optional<Settings.Tls> tls, NetServerOptions options) {
    if (tls.isPresent()) {
      PemKeyCertOptions certificateOptions = new PemKeyCertOptions();
      certificateOptions.addCertPath(tls.get().certificate());
      certificateOptions.addKeyPath(tls.get().key());
      options.setSsl(true).setKeyCertOptions(certificateOptions);
    }
  }
}
