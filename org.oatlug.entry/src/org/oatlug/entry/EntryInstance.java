// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.random.RandomGenerator;
import org.oatlug.config.Kinds;
import org.oatlug.config.Settings;
import org.oatlug.internal.billing.BillingSystem;
import org.oatlug.internal.cascade.ConfidentStage;
import org.oatlug.internal.config.ConfigurationSystem;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.engine.LoadSystem;
import org.oatlug.internal.engine.RatingClient;
import org.oatlug.internal.engine.UpstreamCaller;
import org.oatlug.internal.gather.LimitParticipant;
import org.oatlug.internal.gather.StateExchange;
import org.oatlug.internal.http.CallerServer;
import org.oatlug.internal.http.OperatorServer;
import org.oatlug.internal.http.Services;
import org.oatlug.internal.ledger.ClaimSystem;
import org.oatlug.internal.ledger.Ledger;
import org.oatlug.internal.limit.AdmissionQueue;
import org.oatlug.internal.limit.CapacityRule;
import org.oatlug.internal.limit.OpenRequests;
import org.oatlug.internal.limit.RetryBudget;
import org.oatlug.internal.limit.WorkspaceLimits;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.PeerMessage;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.peer.TcpPeerNetwork;
import org.oatlug.internal.platform.HttpPlatform;
import org.oatlug.internal.rollout.RolloutGuard;
import org.oatlug.internal.routing.PredictedCost;
import org.oatlug.internal.routing.Router;
import org.oatlug.internal.session.SessionKeys;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.table.Tables;
import org.oatlug.internal.util.HttpClients;
import org.oatlug.internal.util.IntervalSystem;
import org.oatlug.internal.util.MonotonicClock;
import org.oatlug.internal.util.PauseDetector;
import org.oatlug.internal.util.TickSystem;
import org.oatlug.platform.Platform;

/**
 * An entry instance, whose components share one event loop.
 *
 * <p>Invariant: tables and systems are only accessed by the event loop of this verticle. A graceful
 * shutdown first reports the instance as not ready, still accepts requests until the load balancer
 * has detected this, completes all open requests and then waits, for a limited time, until the
 * ledger has confirmed its entries.
 */
final class EntryInstance extends VerticleBase implements Drainable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TICK_MILLIS = 20;
  private static final long SHUTDOWN_POLL_MILLIS = 20;

  /** The minimum interval between reports to the collector of the zone. */
  private static final Duration EXCHANGE_INTERVAL = Duration.ofMillis(100);

  private static final Duration LEDGER_FLUSH_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration CONFIRM_RETRY = Duration.ofSeconds(1);
  private static final Duration LEAVING_TIMEOUT = Duration.ofMillis(500);

  private final Settings settings;
  private final InstantSource clock = MonotonicClock.create();
  private final RandomGenerator random = RandomGenerator.getDefault();
  private Services services;
  private List<TickSystem> systems;
  private boolean stopping;

  EntryInstance(Settings settings) {
    this.settings = settings;
  }

  @Override
  public Future<?> start() {
    Member self =
        new Member(
            settings.name(),
            settings.zone(),
            settings.rack(),
            settings.peers().advertisedAddress().host(),
            settings.peers().advertisedAddress().port(),
            clock.instant().toEpochMilli(),
            0,
            Member.State.ALIVE);
    Membership membership = Membership.create(self, clock, random);
    membership.mergeListed(settings.peers().seeds());
    wire(membership);
    vertx.setPeriodic(TICK_MILLIS, unused -> tick());
    return CallerServer.create(services)
        .listen()
        .compose(unused -> OperatorServer.create(services, this::isReady).listen())
        .onSuccess(unused -> logger.atInfo().log("instance %s listens", settings.name()));
  }

  private void wire(Membership membership) {
    Meters meters = Meters.of(new MetricRegistry());
    Freshness freshness =
        Freshness.withBound(Duration.ofMillis(settings.limits().freshnessMillis()));
    final Tables tables = Tables.create(freshness);
    Platform platform = HttpPlatform.create(vertx, settings.platform());
    DeferredPeerHandler deferredHandler = new DeferredPeerHandler();
    TcpPeerNetwork network =
        TcpPeerNetwork.create(vertx, settings.peers(), membership::self, deferredHandler);
    network.onSilentConnection(() -> meters.count("peer.silent-connection"));
    membership.connect(network);
    final Ledger ledger =
        Ledger.create(settings.ledger(), platform, clock, membership, network, meters.registry());
    final BillingSystem billing =
        BillingSystem.create(membership, network, ledger::submit, clock, meters);
    final ClaimSystem claims = ClaimSystem.create(ledger::submit, membership, clock, meters);
    ConfigurationSystem configuration =
        ConfigurationSystem.create(
            tables.catalogue(),
            freshness,
            platform,
            membership,
            network,
            new ConfigurationSystem.Dependencies(
                clock, random, meters, List.of(Kinds.ALL), freshness.bound()));
    final RolloutGuard guard =
        RolloutGuard.create(tables, platform, membership, network, clock, meters);
    final WorkspaceLimits limits = WorkspaceLimits.create(() -> membership.live().size(), random);
    final StateExchange exchange =
        StateExchange.create(
            membership,
            network,
            clock,
            meters,
            LimitParticipant.of(limits, clock),
            CrashLedger.create(clock));
    deferredHandler.setDelegate(
        new SharedStateHandler(
            membership,
            configuration,
            new PeerMessageDispatcher(tables, ledger, billing, guard, exchange)));
    network
        .listen()
        .onFailure(
            failure ->
                logger.atSevere().withCause(failure).log("failed to listen for other instances"));
    AdmissionQueue queue = AdmissionQueue.create();
    PauseDetector pause = PauseDetector.create(clock, () -> confirm(tables, configuration));
    LoadSystem load =
        LoadSystem.create(
            settings.name(),
            tables,
            HttpClients.createWebClient(vertx),
            clock,
            meters,
            upstream -> announceLeaving(membership, network, upstream));
    services =
        new Services(
            vertx,
            settings,
            clock,
            tables,
            router(),
            UpstreamCaller.create(vertx),
            claims,
            ledger,
            billing,
            membership,
            network,
            configuration,
            guard,
            RatingClient.create(vertx, settings.rating(), meters),
            new SessionKeys(settings.sessions().signing(), settings.sessions().keys()),
            OpenRequests.withBound(settings.limits().openRequests()),
            limits,
            queue,
            RetryBudget.create(),
            pause,
            meters);
    systems =
        List.of(
            pause::check,
            membership::tick,
            configuration,
            load,
            () -> queue.serve(clock.instant()),
            ledger::tick,
            claims,
            billing,
            guard,
            IntervalSystem.every(EXCHANGE_INTERVAL, clock, exchange));
  }

  private Router router() {
    return Router.create(
        settings.zone(),
        ConfidentStage.create(),
        PredictedCost.create(),
        CapacityRule.slotsAndShortQueue(),
        random);
  }

  private void tick() {
    for (TickSystem system : systems) {
      system.tick();
    }
  }

  private boolean isReady() {
    boolean configured = !services.tables().catalogue().isEmpty();
    return configured && !stopping && services.tables().freshness().isConfirmed();
  }

  /**
   * Confirms the configuration after a process pause. Requests are not dispatched until then; if
   * neither the platform nor a peer responds, the instance continues without a confirmation.
   */
  private void confirm(Tables tables, ConfigurationSystem configuration) {
    logger.atWarning().log("process pause detected; confirming the configuration again");
    services.meters().count("pause");
    tables.freshness().markUnconfirmed();
    configuration
        .confirm()
        .subscribe()
        .with(
            unused -> tables.freshness().confirm(),
            failure ->
                vertx.setTimer(CONFIRM_RETRY.toMillis(), timer -> confirm(tables, configuration)));
  }

  private void announceLeaving(Membership membership, PeerNetwork network, String upstream) {
    logger.atInfo().log("upstream %s is leaving", upstream);
    PeerMessage notice = new PeerMessage.UpstreamLeaving(upstream);
    for (Member peer : membership.live()) {
      if (!membership.isSelf(peer)) {
        network
            .sendRequest(peer, notice, LEAVING_TIMEOUT)
            .subscribe()
            .with(done -> {}, failure -> {});
      }
    }
  }

  @Override
  public Future<Void> drain() {
    Promise<Void> promise = Promise.promise();
    context.runOnContext(
        unused -> {
          logger.atInfo().log("instance %s shuts down gracefully", settings.name());
          stopping = true;
          services.membership().leave();
          long drainDelay = Math.max(1, settings.limits().drainMillis());
          vertx.setTimer(drainDelay, timer -> awaitOpenRequests(promise));
        });
    return promise.future();
  }

  private void awaitOpenRequests(Promise<Void> promise) {
    services.open().stop();
    vertx.setPeriodic(
        SHUTDOWN_POLL_MILLIS,
        timer -> {
          if (services.open().count() == 0) {
            vertx.cancelTimer(timer);
            awaitLedger(promise, clock.instant().plus(LEDGER_FLUSH_TIMEOUT));
          }
        });
  }

  /**
   * Waits until the ledger has confirmed all entries or the deadline has passed. Witnesses hold the
   * bills that remain; outcomes and voids of claims that remain are held by no other instance.
   */
  private void awaitLedger(Promise<Void> promise, Instant deadline) {
    vertx.setPeriodic(
        SHUTDOWN_POLL_MILLIS,
        timer -> {
          int pendingEntries =
              services.billing().unconfirmedCount() + services.claims().unrecordedCount();
          if (pendingEntries == 0 || clock.instant().isAfter(deadline)) {
            vertx.cancelTimer(timer);
            logger.atInfo().log(
                "instance %s stopped, %d ledger entries unconfirmed",
                settings.name(), pendingEntries);
            promise.tryComplete();
          }
        });
  }
}
