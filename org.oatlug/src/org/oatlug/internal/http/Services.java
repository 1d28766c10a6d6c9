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
import org.oatlug.internal.ledger.ClaimSystem;
import org.oatlug.internal.ledger.Ledger;
import org.oatlug.internal.limit.AdmissionQueue;
import org.oatlug.internal.limit.OpenRequests;
import org.oatlug.internal.limit.RetryBudget;
import org.oatlug.internal.limit.WorkspaceLimits;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.routing.Router;
import org.oatlug.internal.session.SessionKeys;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.util.PauseDetector;

/**
 * Components of one instance that request handling uses. Immutable; the components belong to one
 * event loop.
 *
 * @param vertx the Vert.x runtime
 * @param settings the settings
 * @param clock the clock
 * @param tables the routing tables
 * @param router decides the route of a request
 * @param caller sends attempts to upstreams
 * @param claims claims requests that may run at most once
 * @param ledger the ledger
 * @param billing stores bills until the ledger has confirmed them
 * @param membership the instances of the cluster and their state
 * @param network sends messages to other instances
 * @param configuration applies configuration objects
 * @param guard monitors roll-outs
 * @param rating requests ratings of responses
 * @param sessionKeys the keys that sign sessions
 * @param open the open requests
 * @param limits the rate limits of workspaces
 * @param admissionQueue the queue of requests that wait for upstream capacity
 * @param retries the retry budget
 * @param pauseDetector detects pauses of the event loop
 * @param meters the counters and timers
 */
public record Services(
    Vertx vertx,
    Settings settings,
    InstantSource clock,
    Tables tables,
    Router router,
    UpstreamCaller caller,
    ClaimSystem claims,
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
    AdmissionQueue admissionQueue,
    RetryBudget retries,
    PauseDetector pauseDetector,
    Meters meters) {

  /** Returns the metric registry. */
  MetricRegistry registry() {
    return meters.registry();
  }
}
