// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.entry;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.oatlug.config.Settings;
import org.oatlug.gateway.DeploymentAdapter;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.config.ConfigurationSystem;
import org.oatlug.internal.config.ObjectJoin;
import org.oatlug.internal.config.ObjectSink;
import org.oatlug.internal.config.Origin;
import org.oatlug.internal.gateway.GatewayComponents;
import org.oatlug.internal.gateway.GatewayParticipant;
import org.oatlug.internal.gateway.GatewayServer;
import org.oatlug.internal.gateway.GatewayTables;
import org.oatlug.internal.gateway.InspectionServer;
import org.oatlug.internal.gateway.ReadinessGate;
import org.oatlug.internal.gateway.RolloutDirector;
import org.oatlug.internal.gather.StateExchange;
import org.oatlug.internal.limit.RankedSenders;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.MeteredPeerNetwork;
import org.oatlug.internal.peer.PeerNetwork;
import org.oatlug.internal.peer.TcpPeerNetwork;
import org.oatlug.internal.platform.MeteredPlatform;
import org.oatlug.internal.table.Freshness;
import org.oatlug.internal.util.MonotonicClock;
import org.oatlug.internal.util.PauseDetector;
import org.oatlug.internal.util.TickSystem;
import org.oatlug.platform.Platform;
import org.oatlug.platform.StoredObject;

/**
 * One entry instance that serves routed services, wired together on one event loop.
 *
 * <p>Invariant: tables and systems are only touched by the event loop of this verticle. A planned
 * stop first stops being ready, goes on accepting while the balancer notices, finishes what it can
 * within the grace and cuts the rest in time for callers to resume it elsewhere.
 */
final class GatewayInstance extends VerticleBase implements Drainable, SettingsWatcher.Target {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * How often the systems look whether something is due: as long as the least of their intervals,
   * so that an idle instance seldom wakes up.
   */
  private static final long TICK_MILLIS = 100;

  /** How often a planned stop looks whether requests are open. */
  private static final long STOP_POLL_MILLIS = 20;

  /** How long a balancer that asks once a second may take to miss two answers. */
  private static final Duration BALANCER_LAG = Duration.ofMillis(2300);

  /** What is left of the grace when open requests are cut, so that the process ends in time. */
  private static final Duration CUT_BEFORE_END = Duration.ofMillis(400);

  /** How old the configuration may be before this instance calls it stale. */
  private static final Duration FRESHNESS = Duration.ofSeconds(12);

  private final DeploymentAdapter adapter;
  private final InstantSource clock = MonotonicClock.create();
  private final RandomGenerator random = RandomGenerator.getDefault();
  private final GatewayTables tables = GatewayTables.create(clock);
  private final Instant startedAt = clock.instant();
  private GatewaySettings settings;
  private Membership membership;
  private GatewayServer server;
  private TcpPeerNetwork listener;
  private List<TickSystem> systems = List.of();
  private Optional<Instant> listeningAt = Optional.empty();
  private Optional<Instant> servingAt = Optional.empty();
  private ReadinessGate readinessGate;
  private boolean stopping;

  GatewayInstance(GatewaySettings settings, DeploymentAdapter adapter) {
    this.settings = settings;
    this.adapter = adapter;
  }

  @Override
  public Future<?> start() {
    GatewaySettings.Endpoint peer = settings.peers().listen();
    long now = clock.instant().toEpochMilli();
    Member self =
        new Member(
            settings.name(),
            settings.zone(),
            settings.name(),
            peer.host(),
            peer.port(),
            now,
            0,
            Member.State.ALIVE);
    membership = Membership.create(self, clock, random);
    membership.seeds(seedsOf(settings));
    Meters meters = Meters.of(new MetricRegistry());
    GatewayComponents components = wire(meters);
    return listen(InspectionServer.create(vertx, meters, this::isReady), components);
  }

  /** Opens the sockets, the callers' one first, and starts the systems. */
  private Future<?> listen(InspectionServer inspection, GatewayComponents components) {
    // The callers' server is the first one: it takes over the socket that was opened for it.
    final Future<?> callers = server.listen();
    listener.listen().onFailure(failure -> logger.atSevere().withCause(failure).log("peers"));
    systems.forEach(TickSystem::tick);
    vertx.setPeriodic(TICK_MILLIS, unused -> systems.forEach(TickSystem::tick));
    return callers
        .compose(unused -> inspection.listenForReadiness(settings.readiness()))
        .compose(
            unused ->
                inspection.listenForOperators(
                    settings.callers().host(), settings.metrics(), components))
        .onSuccess(unused -> listens());
  }

  private void listens() {
    listeningAt = Optional.of(clock.instant());
    logger.atInfo().log("instance %s listens", settings.name());
    noteStarted();
  }

  /** Writes the line that ends a start, once the instance listens and knows enough. */
  private void noteStarted() {
    if (servingAt.isPresent() && listeningAt.isPresent()) {
      logger.atInfo().log(
          "instance %s can serve, listening=%d configured=%d millis after its start",
          settings.name(), millisOfStart(listeningAt.get()), millisOfStart(servingAt.get()));
    }
  }

  private long millisOfStart(Instant moment) {
    return Duration.between(startedAt, moment).toMillis();
  }

  /** Creates the components of the instance and connects them. */
  private GatewayComponents wire(Meters meters) {
    Platform platform = MeteredPlatform.of(adapter.platform(vertx, settings), meters);
    DeferredPeerHandler deferredHandler = new DeferredPeerHandler();
    listener = TcpPeerNetwork.create(vertx, peerSettings(), membership::self, deferredHandler);
    PeerNetwork network = MeteredPeerNetwork.of(listener, membership::self, meters);
    membership.connect(network);
    ConfigurationSystem configuration = configurationSystem(platform, network, meters);
    RolloutDirector rollouts =
        RolloutDirector.create(tables, platform, membership, clock, meters, settings.bounds());
    RankedSenders senders =
        RankedSenders.create(settings.name(), membership::live, membership::hasKnownPeers, clock);
    GatewayComponents components =
        GatewayComponents.create(
            vertx,
            settings,
            clock,
            adapter,
            tables,
            rollouts,
            senders.senders(),
            () -> membership.live().size(),
            random,
            meters);
    StateExchange gathering =
        StateExchange.create(
            membership,
            network,
            clock,
            meters,
            GatewayParticipant.of(components, rollouts),
            components.crashLedger());
    rollouts.onRefuted(gathering::sendReportNow);
    deferredHandler.setDelegate(
        new SharedStateHandler(
            membership,
            configuration,
            (from, message) -> Uni.createFrom().item(gathering.handle(from, message))));
    readinessGate =
        ReadinessGate.create(
            clock,
            () -> tables.configuration().isPresent(),
            () -> configuration.hasReadAll() && configuration.isInSync(),
            () ->
                !tables.hasRunningRollout()
                    || gathering.hasInitialExchange()
                    || gathering.hasSessionRecords() && rollouts.knowsOrderAges());
    server = GatewayServer.create(components, random, readinessGate::isOpen);
    PauseDetector pause = PauseDetector.create(clock, components::handleProcessPause);
    systems =
        List.of(
            pause::check,
            configuration,
            membership::tick,
            rollouts,
            gathering,
            senders,
            this::openWhenKnown);
    return components;
  }

  private ConfigurationSystem configurationSystem(
      Platform platform, PeerNetwork network, Meters meters) {
    return ConfigurationSystem.create(
        new NotedObjects(),
        Freshness.withBound(FRESHNESS),
        platform,
        membership,
        network,
        new ConfigurationSystem.Dependencies(
            clock,
            random,
            meters,
            List.of(
                // Small ones first, so that a start waits for the orders no longer than for
                // upstreams.
                List.of(GatewayKinds.ROUTING),
                List.of(GatewayKinds.ROLLOUT),
                List.of(GatewayKinds.EVACUATION),
                List.of(GatewayKinds.UPSTREAM))));
  }

  /** Returns the settings of the peers' protocol; only the membership receives the seeds. */
  private Settings.Peers peerSettings() {
    GatewaySettings.Peers peers = settings.peers();
    return new Settings.Peers(
        peers.listen().host(),
        peers.listen().port(),
        peers.key(),
        List.of(),
        Optional.empty(),
        Optional.empty());
  }

  /** The tables; callers that wait go on as soon as what the instance needs is there. */
  private final class NotedObjects implements ObjectSink {
    @Override
    public ObjectJoin join() {
      return tables.join();
    }

    @Override
    public List<StoredObject> mergeAll(List<StoredObject> objects, Origin origin) {
      List<StoredObject> fresh = tables.mergeAll(objects, origin);
      openWhenKnown();
      return fresh;
    }
  }

  /** Lets callers go on that came before the instance knew enough. */
  private void openWhenKnown() {
    if (readinessGate.opens()) {
      servingAt = Optional.of(clock.instant());
      tables.completeInitialRead();
      server.startWaitingRequests();
      noteStarted();
    }
  }

  private static List<Settings.Address> seedsOf(GatewaySettings settings) {
    return settings.peers().seeds().stream()
        .map(seed -> new Settings.Address(seed.host(), seed.port()))
        .toList();
  }

  private boolean isReady() {
    return !stopping && readinessGate.isOpen() && !tables.upstreamNames().isEmpty();
  }

  /**
   * Takes over settings that were read anew: seeds and the grace. Addresses stay until a restart,
   * because callers and peers are connected to them.
   */
  @Override
  public void applySettings(GatewaySettings changed) {
    if (context == null) {
      logger.atInfo().log("settings read anew before the start, they hold from the next start on");
      return;
    }
    context.runOnContext(
        unused -> {
          boolean same = changed.equals(settings);
          settings = changed;
          membership.seeds(seedsOf(changed));
          logger.atInfo().log("settings read anew, %s", same ? "unchanged" : "changed");
        });
  }

  @Override
  public Future<Void> drain() {
    Promise<Void> promise = Promise.promise();
    context.runOnContext(
        unused -> {
          logger.atInfo().log(
              "instance %s shuts down gracefully, %d open", settings.name(), server.openRequests());
          stopping = true;
          membership.leave();
          long grace = settings.bounds().grace().minus(CUT_BEFORE_END).toMillis();
          server.beginShutdown(clock.instant().plusMillis(grace));
          vertx.setTimer(BALANCER_LAG.toMillis(), timer -> finishOpen(promise));
          vertx.setTimer(Math.max(1, grace), timer -> endGrace(promise));
        });
    return promise.future();
  }

  private void finishOpen(Promise<Void> promise) {
    server.closeIdleConnections();
    vertx.setPeriodic(
        STOP_POLL_MILLIS,
        timer -> {
          if (server.openRequests() == 0) {
            vertx.cancelTimer(timer);
            promise.tryComplete();
          }
        });
  }

  private void endGrace(Promise<Void> promise) {
    logger.atInfo().log(
        "instance %s ends its grace, %d cut", settings.name(), server.openRequests());
    server.closeAllConnections();
    vertx.setTimer(STOP_POLL_MILLIS, timer -> promise.tryComplete());
  }
}
