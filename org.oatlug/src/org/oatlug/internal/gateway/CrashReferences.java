// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import org.oatlug.gateway.UpstreamRecord;

/**
 * Selects the upstreams by which a crash is told from a partition of this instance.
 *
 * <p>Those of the same service come first, because an instance may lose a single service. If none
 * of them is known to run, as after a request that crashed them all, those of other services are
 * used. Owned by one event loop, not thread-safe.
 */
final class CrashReferences {
  /** A single reference may crash at the same time. */
  private static final int MAXIMUM_REFERENCES = 3;

  private final GatewayTables tables;
  private Predicate<String> hasCrashed = process -> false;

  CrashReferences(GatewayTables tables) {
    this.tables = tables;
  }

  /** Sets the processes that are not used, because they are known to have crashed. */
  void exclude(Predicate<String> crashedProcess) {
    hasCrashed = crashedProcess;
  }

  /** Returns the addresses of up to three upstreams other than the given one. */
  List<SocketAddress> of(UpstreamRecord upstream) {
    List<SocketAddress> sameService = new ArrayList<>();
    List<SocketAddress> otherServices = new ArrayList<>();
    for (String name : tables.upstreamNames()) {
      UpstreamRecord other = tables.upstream(name).orElseThrow();
      boolean usable =
          !isAtSameAddress(other, upstream)
              && !tables.isLeaving(name)
              && !hasCrashed.test(tables.row(name).process());
      if (usable) {
        boolean isSameService = other.service().equals(upstream.service());
        SocketAddress address = SocketAddress.inetSocketAddress(other.port(), other.host());
        (isSameService ? sameService : otherServices).add(address);
      }
    }
    List<SocketAddress> references = sameService.isEmpty() ? otherServices : sameService;
    Collections.shuffle(references);
    return references.subList(0, Math.min(MAXIMUM_REFERENCES, references.size()));
  }

  private static boolean isAtSameAddress(UpstreamRecord first, UpstreamRecord second) {
    return first.host().equals(second.host()) && first.port() == second.port();
  }
}
