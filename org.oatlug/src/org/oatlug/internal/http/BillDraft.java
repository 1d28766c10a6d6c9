// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import java.util.Optional;
import org.oatlug.config.Version;
import org.oatlug.internal.billing.Bill;
import org.oatlug.internal.routing.RoutingDecision.Route;

/**
 * Bill of one chat request while the response is in progress.
 *
 * <p>Invariants: nothing is charged for a response before its first token or its completion; the
 * cost of a complete response is still charged after escalation to a stronger stage. Used from one
 * event loop.
 */
final class BillDraft {
  private static final int TOKENS_PER_PRICE_UNIT = 1000;

  private final Services services;
  private final CallerRequest request;
  private final int promptTokens;
  private Optional<Bill> current = Optional.empty();
  private long earlierCost;

  BillDraft(Services services, CallerRequest request, int promptTokens) {
    this.services = services;
    this.request = request;
    this.promptTokens = promptTokens;
  }

  /** Returns the current bill, empty before the first attempt. */
  Optional<Bill> current() {
    return current;
  }

  /** Starts the bill of an attempt. */
  Bill startAttempt(Route route) {
    earlierCost = current.filter(Bill::complete).map(Bill::cost).orElse(earlierCost);
    return update(route, 0, false);
  }

  /** Updates the bill with the number of tokens generated so far. */
  Bill progressed(Route route, int answerTokens) {
    return update(route, answerTokens, false);
  }

  /** Updates the bill with a complete response. */
  Bill complete(Route route, int answerTokens) {
    return update(route, answerTokens, true);
  }

  private Bill update(Route route, int answerTokens, boolean complete) {
    boolean isCharged = complete || answerTokens > 0;
    long tokens = isCharged ? promptTokens + answerTokens : 0;
    Bill bill =
        new Bill(
            request.id(),
            request.workspaceName(),
            route.version(),
            promptTokens,
            answerTokens,
            earlierCost + pricePerThousandTokens(route) * tokens / TOKENS_PER_PRICE_UNIT,
            complete,
            services.membership().self().process(),
            request.started().toEpochMilli());
    current = Optional.of(bill);
    return bill;
  }

  private long pricePerThousandTokens(Route route) {
    return services
        .tables()
        .catalogue()
        .version(route.version())
        .map(Version::costPerThousandTokens)
        .orElse(0L);
  }
}
