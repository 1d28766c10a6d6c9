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
import java.util.OptionalInt;
import java.util.random.RandomGenerator;
import org.oatlug.config.Settings;
import org.oatlug.gateway.DeploymentAdapter;
import org.oatlug.gateway.GatewayKinds;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.config.ConfigurationSystem;
import org.oatlug.internal.config.ObjectJoin;
import org.oatlug.internal.config.ObjectSink;
import org.oatlug.internal.config.Origin;
import org.oatlug.internal.forward.ForwardingProtocol;
import org.oatlug.internal.forward.PathProbes;
import org.oatlug.internal.forward.Receivers;
import org.oatlug.internal.gateway.GatewayComponents;
import org.oatlug.internal.gateway.GatewayParticipant;
import org.oatlug.internal.gateway.GatewayServer;
import org.oatlug.internal.gateway.GatewayTables;
import org.oatlug.internal.gateway.InspectionServer;
import org.oatlug.internal.gateway.PeerForwarding;
import org.oatlug.internal.gateway.ReadinessGate;
import org.oatlug.internal.gateway.RolloutDirector;
import org.oatlug.internal.gather.StateExchange;
import org.oatlug.internal.limit.AcceptGate;
import org.oatlug.internal.limit.AcceptWindow;
import org.oatlug.internal.limit.RankedSenders;
import org.oatlug.internal.membership.Membership;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.peer.Member;
import org.oatlug.internal.peer.MeteredPeerNetwork;
import org.oatlug.internal.peer.PeerMessage;
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
 * Creates and runs the components of an entry instance that routes services, on one event loop.
 *
 * <p>Invariant: only the event loop of this verticle accesses tables and systems. A graceful
 * shutdown first reports the instance as not ready, accepts requests until the load balancer has
 * detected this, completes open requests within the grace period and closes the remaining
 * connections early enough for callers to resume on another instance.
 */
final class GatewayInstance extends VerticleBase implements Drainable, SettingsWatcher.Target {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The interval between ticks of the systems. It equals their shortest interval, which keeps the
   * wake-ups of an idle instance rare.
   */
  private static final long TICK_MILLIS = 100;

  /** The time for writing the last responses, within {@link #CLOSE_RESERVE}. */
  private static final long FLUSH_MILLIS = 100;

  /** The interval at which a graceful shutdown polls the number of open requests. */
  private static final long SHUTDOWN_POLL_MILLIS = 20;

  /** The maximum time for a load balancer that probes once a second to see two failed probes. */
  private static final Duration BALANCER_DETECTION_TIME = Duration.ofMillis(2300);

  /**
   * The part of the grace period reserved for closing open requests, so the process ends in time.
   */
  private static final Duration CLOSE_RESERVE = Duration.ofMillis(400);

  /** The time in which errors are taken for one shortage of memory. */
  private static final Duration SHORTAGE_TIME = Duration.ofSeconds(1);

  private static final int EXIT_CODE_FAILED = 1;

  /** The maximum age of a configuration that this instance treats as fresh. */
  private static final Duration FRESHNESS = Duration.ofSeconds(12);

  private final DeploymentAdapter adapter;
  private final InstantSource clock = MonotonicClock.create();
  private final RandomGenerator random = RandomGenerator.getDefault();
  private final GatewayTables tables = GatewayTables.create(clock);
  private final Instant startedAt = clock.instant();
  private final AcceptGate acceptGate = AcceptGate.create(clock);
  private final AcceptWindow acceptWindow = AcceptWindow.create(clock);
  private Instant lastTick = startedAt;
  private GatewaySettings settings;
  private Membership membership;
  private GatewayServer server;
  private TcpPeerNetwork peerListener;
  private List<TickSystem> systems = List.of();
  private Optional<Instant> listeningAt = Optional.empty();
  private Optional<Instant> servingAt = Optional.empty();
  private ReadinessGate readinessGate;
  private OptionalInt forwardingPort = OptionalInt.empty();
  private boolean stopping;
  private Optional<Future<Void>> drained = Optional.empty();
  private Optional<Instant> stateUnknownSince = Optional.empty();

  GatewayInstance(GatewaySettings settings, DeploymentAdapter adapter) {
    this.settings = settings;
    this.adapter = adapter;
  }

  /** Returns the limit of accepted connections of callers; the transport has to ask it. */
  AcceptWindow acceptWindow() {
    return acceptWindow;
  }

  /** Returns the gate for new connections of callers; the transport has to ask it. */
  AcceptGate acceptGate() {
    return acceptGate;
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
    return listen(
        InspectionServer.create(vertx, meters, () -> isReady() && !components.relief().isActive()),
        components);
  }

  /** Opens the sockets, beginning with the one for callers, and starts the systems. */
  private Future<?> listen(InspectionServer inspection, GatewayComponents components) {
    // The server for callers listens first: it takes over the socket that was opened for it.
    final Future<?> callers = server.listen();
    peerListener
        .listen()
        .onFailure(
            failure ->
                logger.atSevere().withCause(failure).log("failed to listen for other instances"));
    server
        .listenForInstances()
        .onSuccess(listening -> forwardingPort = OptionalInt.of(listening.actualPort()))
        .onFailure(
            failure ->
                logger.atSevere().withCause(failure).log(
                    "failed to listen for forwarded requests"));
    systems.forEach(TickSystem::tick);
    vertx.setPeriodic(TICK_MILLIS, unused -> systems.forEach(TickSystem::tick));
    return callers
        .compose(unused -> inspection.listenForReadiness(settings.readiness()))
        .compose(
            unused ->
                inspection.listenForOperators(
                    settings.callers().host(), settings.metrics(), components))
        .onSuccess(unused -> handleListening());
  }

  private void handleListening() {
    listeningAt = Optional.of(clock.instant());
    logger.atInfo().log("instance %s listens", settings.name());
    logStartIfServing();
  }

  /** Logs that the start is complete once the instance listens and its readiness gate is open. */
  private void logStartIfServing() {
    if (servingAt.isPresent() && listeningAt.isPresent()) {
      logger.atInfo().log(
          "instance %s can serve, listening=%d configured=%d millis after its start",
          settings.name(), millisSinceStart(listeningAt.get()), millisSinceStart(servingAt.get()));
    }
  }

  private long millisSinceStart(Instant instant) {
    return Duration.between(startedAt, instant).toMillis();
  }

  /** Creates the components of the instance and connects them. */
  private GatewayComponents wire(Meters meters) {
    final Platform platform = MeteredPlatform.of(adapter.platform(vertx, settings), meters);
    DeferredPeerHandler deferredHandler = new DeferredPeerHandler();
    peerListener = TcpPeerNetwork.create(vertx, peerSettings(), membership::self, deferredHandler);
    PeerNetwork network = MeteredPeerNetwork.of(peerListener, membership::self, meters);
    peerListener.onSilentConnection(() -> meters.count("peer.silent-connection"));
    membership.connect(network);
    ConfigurationSystem configuration = configurationSystem(platform, network, meters);
    RolloutDirector rollouts =
        RolloutDirector.create(tables, platform, membership, clock, meters, settings.bounds());
    PeerForwarding forwarding =
        new PeerForwarding(
            Receivers.create(membership, network, clock, random, meters),
            ForwardingProtocol.withKey(settings.peers().key()));
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
            forwarding,
            senders.senders(),
            () -> membership.live().size(),
            random,
            meters);
    StateExchange stateExchange =
        StateExchange.create(
            membership,
            network,
            clock,
            meters,
            GatewayParticipant.of(components, rollouts),
            components.crashLedger());
    rollouts.onRefuted(stateExchange::sendReportNow);
    deferredHandler.setDelegate(
        new SharedStateHandler(
            membership,
            configuration,
            (from, message) ->
                Uni.createFrom().item(handle(message, from, stateExchange, components))));
    components.errors().onStateUnknown(this::leaveService);
    context.exceptionHandler(components.errors()::record);
    peerListener.useTimeoutRule(components.timeouts());
    membership.useTimeoutRule(components.timeouts());
    readinessGate =
        ReadinessGate.create(
            clock,
            () -> tables.configuration().isPresent(),
            () -> configuration.hasReadAll() && configuration.isInSync(),
            () ->
                !tables.hasRunningRollout()
                    || stateExchange.hasCompletedInitialExchange()
                    || stateExchange.hasSessionRecords() && rollouts.knowsOrderAges(),
            () -> !membership.hasKnownPeers() || stateExchange.hasCrashRecords());
    server =
        GatewayServer.create(components, random, readinessGate::isOpen, acceptGate, acceptWindow);
    PauseDetector pause = PauseDetector.create(clock, components::handleProcessPause);
    systems =
        List.of(
            () -> recordTickDelay(components),
            pause::check,
            configuration,
            membership::tick,
            rollouts,
            stateExchange,
            senders,
            PathProbes.create(
                vertx,
                components.paths(),
                components.timeouts(),
                tables::addressesOf,
                clock,
                random),
            server::tick,
            this::openGateWhenReady);
    return components;
  }

  /** Records by how much this tick is late, which costs no wake-up of its own. */
  private void recordTickDelay(GatewayComponents components) {
    Instant now = clock.instant();
    components
        .eventLoopDelay()
        .recordTimerDelay(Duration.between(lastTick, now).minusMillis(TICK_MILLIS));
    lastTick = now;
  }

  private PeerMessage handle(
      PeerMessage message, Member from, StateExchange stateExchange, GatewayComponents components) {
    return message instanceof PeerMessage.PathQuery query
        ? pathAnswer(query.service(), components)
        : stateExchange.handle(from, message);
  }

  /** Returns whether this instance takes forwarded requests for the service. */
  private PeerMessage pathAnswer(String service, GatewayComponents components) {
    boolean available =
        isReady()
            && forwardingPort.isPresent()
            && components.canSendTo(service)
            && !tables.upstreamsOf(service).isEmpty();
    return new PeerMessage.PathAnswer(
        available, components.paths().hasLatelyReached(service), forwardingPort.orElse(0));
  }

  private ConfigurationSystem configurationSystem(
      Platform platform, PeerNetwork network, Meters meters) {
    return ConfigurationSystem.create(
        new GateOpeningSink(),
        Freshness.withBound(FRESHNESS),
        platform,
        membership,
        network,
        new ConfigurationSystem.Dependencies(
            clock,
            random,
            meters,
            List.of(
                // Small kinds come first, so that a start does not wait longer for roll-outs than
                // for upstreams.
                List.of(GatewayKinds.ROUTING),
                List.of(GatewayKinds.ROLLOUT),
                List.of(GatewayKinds.EVACUATION),
                List.of(GatewayKinds.UPSTREAM)),
            settings.bounds().propagation()));
  }

  /**
   * Returns the settings of the peer protocol, without seeds: only the membership receives those.
   */
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

  /** Merges objects into the tables and opens the readiness gate once its conditions hold. */
  private final class GateOpeningSink implements ObjectSink {
    @Override
    public ObjectJoin join() {
      return tables.join();
    }

    @Override
    public List<StoredObject> mergeAll(List<StoredObject> objects, Origin origin) {
      List<StoredObject> mergedObjects = tables.mergeAll(objects, origin);
      openGateWhenReady();
      return mergedObjects;
    }
  }

  /** Starts the waiting requests once the readiness gate opens. */
  private void openGateWhenReady() {
    if (readinessGate.tryOpen()) {
      servingAt = Optional.of(clock.instant());
      tables.completeInitialRead();
      server.startWaitingRequests();
      logStartIfServing();
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
   * Applies the seeds and the grace period of reloaded settings. Addresses take effect only after a
   * restart, because callers and peers are connected to them.
   */
  @Override
  public void applySettings(GatewaySettings changed) {
    if (context == null) {
      logger.atInfo().log("settings reloaded before the start, they take effect at the next start");
      return;
    }
    context.runOnContext(
        unused -> {
          boolean isUnchanged = changed.equals(settings);
          settings = changed;
          membership.seeds(seedsOf(changed));
          logger.atInfo().log("settings reloaded, %s", isUnchanged ? "unchanged" : "changed");
        });
  }

  /**
   * Leaves service after an error that may have left the state inconsistent: open requests end as
   * in a planned stop, and the platform starts a new process. If memory is short even then, the
   * process ends at once.
   */
  private void leaveService() {
    if (stateUnknownSince.isEmpty()) {
      stateUnknownSince = Optional.of(clock.instant());
      logger.atSevere().log("instance %s stops: its memory was exhausted", settings.name());
      drain().onComplete(unused -> Runtime.getRuntime().halt(EXIT_CODE_FAILED));
    } else if (clock.instant().isAfter(stateUnknownSince.get().plus(SHORTAGE_TIME))) {
      Runtime.getRuntime().halt(EXIT_CODE_FAILED);
    }
  }

  @Override
  public Future<Void> drain() {
    Promise<Void> promise = Promise.promise();
    context.runOnContext(
        unused -> {
          if (drained.isEmpty()) {
            drained = Optional.of(promise.future());
            beginDrain(promise);
          } else {
            drained.get().onComplete(promise);
          }
        });
    return promise.future();
  }

  private void beginDrain(Promise<Void> promise) {
    logger.atInfo().log(
        "instance %s shuts down gracefully, %d open requests",
        settings.name(), server.openRequests());
    stopping = true;
    membership.leave();
    long grace = settings.bounds().grace().minus(CLOSE_RESERVE).toMillis();
    server.beginShutdown(clock.instant().plusMillis(grace));
    vertx.setTimer(BALANCER_DETECTION_TIME.toMillis(), timer -> awaitOpenRequests(promise));
    vertx.setTimer(Math.max(1, grace), timer -> endGracePeriod(promise));
  }

  private void awaitOpenRequests(Promise<Void> promise) {
    server.closeIdleConnections();
    vertx.setPeriodic(
        SHUTDOWN_POLL_MILLIS,
        timer -> {
          if (server.openRequests() == 0) {
            vertx.cancelTimer(timer);
            promise.tryComplete();
          }
        });
  }

  private void endGracePeriod(Promise<Void> promise) {
    logger.atInfo().log(
        "grace period of instance %s ended, ending %d open requests",
        settings.name(), server.openRequests());
    server.endOpenRequests();
    vertx.setTimer(
        FLUSH_MILLIS,
        timer -> {
          server.closeAllConnections();
          promise.tryComplete();
        });
  }
}
