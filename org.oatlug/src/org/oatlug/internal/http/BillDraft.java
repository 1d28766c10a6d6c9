// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import java.util.Optional;
import org.oatlug.config.Version;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.routing.RoutingDecision.Route;

/**
 * The bill of one chat request while it is answered.
 *
 * <p>Invariants: nothing is owed before the first token of an answer; the cost of a complete answer
 * that a stronger stage answered again stays owed. Used from one event loop.
 */
final class BillDraft {
  private static final int THOUSAND = 1000;

  private final Services services;
  private final CallerRequest request;
  private final int promptTokens;
  private Optional<Bill> current = Optional.empty();
  private long owedEarlier;

  BillDraft(Services services, CallerRequest request, int promptTokens) {
    this.services = services;
    this.request = request;
    this.promptTokens = promptTokens;
  }

  /** Returns the bill as it stands, empty before the first attempt. */
  Optional<Bill> current() {
    return current;
  }

  /** Begins the bill of an attempt. */
  Bill intent(Route route) {
    owedEarlier = current.filter(Bill::complete).map(Bill::cost).orElse(owedEarlier);
    return draw(route, 0, false);
  }

  /** Notes how far the answer came. */
  Bill progressed(Route route, int answerTokens) {
    return draw(route, answerTokens, false);
  }

  /** Notes that the answer is complete. */
  Bill complete(Route route, int answerTokens) {
    return draw(route, answerTokens, true);
  }

  private Bill draw(Route route, int answerTokens, boolean complete) {
    boolean owed = complete || answerTokens > 0;
    long tokens = owed ? promptTokens + answerTokens : 0;
    Bill bill =
        new Bill(
            request.id(),
            request.workspaceName(),
            route.version(),
            promptTokens,
            answerTokens,
            owedEarlier + priceOf(route) * tokens / THOUSAND,
            complete,
            services.membership().self().process(),
            request.started().toEpochMilli());
    current = Optional.of(bill);
    return bill;
  }

  private long priceOf(Route route) {
    return services
        .tables()
        .catalogue()
        .version(route.version())
        .map(Version::costPerThousandTokens)
        .orElse(0L);
  }
}
