// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.http;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import org.oatlug.config.Settings;
import org.oatlug.internal.billing.BillingSystem;
import org.oatlug.internal.config.ConfigurationSystem;
import org.oatlug.internal.engine.RatingClient;
import org.oatlug.internal.engine.UpstreamCaller;
import org.oatlug.internal.ledger.ClaimDesk;
import org.oatlug.internal.ledger.Ledger;
import org.oatlug.internal.limit.OpenRequests;
import org.oatlug.internal.limit.RetryBudget;
import org.oatlug.internal.limit.WaitingLine;
import org.oatlug.internal.limit.WorkspaceLimits;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.routing.Router;
import org.oatlug.internal.session.SessionKeys;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.util.PauseWatch;

/**
 * The parts of one instance that requests use. Immutable; its parts belong to one event loop.
 *
 * @param vertx the runtime
 * @param settings the settings
 * @param clock the clock
 * @param tables the tables
 * @param router the decision
 * @param caller sends attempts to upstreams
 * @param claims claims requests that may run at most once
 * @param ledger the ledger
 * @param billing keeps bills
 * @param membership which instances are live
 * @param network the way to them
 * @param configuration brings objects into force
 * @param guard watches roll-outs
 * @param rating rates answers
 * @param sessionKeys the keys that sign sessions
 * @param open the open requests
 * @param limits the rates of workspaces
 * @param line the requests that wait for a place
 * @param retries the retry budget
 * @param pause finds out that the process stood still
 * @param meters the counters
 */
public record Services(
    Vertx vertx,
    Settings settings,
    InstantSource clock,
    Tables tables,
    Router router,
    UpstreamCaller caller,
    ClaimDesk claims,
    Ledger ledger,
    BillingSystem billing,
    Membership membership,
    PeerNetwork network,
    ConfigurationSystem configuration,
    RolloutGuard guard,
    RatingClient rating,
    SessionKeys sessionKeys,
    OpenRequests open,
    WorkspaceLimits limits,
    WaitingLine line,
    RetryBudget retries,
    PauseWatch pause,
    Meters meters) {

  /** Returns the registry of the counters. */
  MetricRegistry registry() {
    return meters.registry();
  }
}
