// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.config;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.oatlug.api.ObjectKey;
import org.oatlug.api.VersionState;
import org.oatlug.config.Cascade;
import org.oatlug.config.Kinds;
import org.oatlug.config.Policy;
import org.oatlug.config.Rollout;
import org.oatlug.config.Service;
import org.oatlug.config.Upstream;
import org.oatlug.config.Version;
import org.oatlug.config.Workspace;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.errors.PolicyInvalidException;
import org.oatlug.platform.StoreRevision;
import org.oatlug.platform.StoredObject;

/**
 * Typed view of the published objects, with the indexes that the request path uses.
 *
 * <p>Invariant: holds the newest version of each object. An object that cannot be parsed is absent,
 * so requests that refer to it are denied. Owned by one event loop, not thread-safe.
 */
public final class Catalogue implements ObjectSink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ObjectJoin join = ObjectJoin.create(ObjectRules.BY_REVISION);
  private final Map<ObjectKey, Object> contents = new TreeMap<>();
  private final Map<String, PolicyProgram> programs = new HashMap<>();
  private final Map<String, String> workspaceByKeyHash = new HashMap<>();
  private final Map<String, List<String>> upstreamsByService = new HashMap<>();
  private final Map<String, List<String>> versionsByModel = new HashMap<>();

  private Catalogue() {}

  /** Returns an empty catalogue. */
  public static Catalogue create() {
    return new Catalogue();
  }

  /** Merges an object and returns whether it was newer than the known one. */
  public boolean merge(StoredObject object) {
    return !mergeAll(List.of(object)).isEmpty();
  }

  @Override
  public List<StoredObject> mergeAll(List<StoredObject> objects, Origin origin) {
    List<StoredObject> updated = new ArrayList<>();
    Set<String> kinds = new TreeSet<>();
    for (StoredObject object : objects) {
      join.merge(object).ifPresent(updated::add);
    }
    for (StoredObject object : updated) {
      kinds.add(object.key().kind());
      replaceContent(object);
    }
    kinds.forEach(this::index);
    return updated;
  }

  private void replaceContent(StoredObject object) {
    Optional<Object> content = parse(object);
    if (content.isPresent()) {
      contents.put(object.key(), content.get());
    } else {
      contents.remove(object.key());
    }
  }

  @Override
  public ObjectJoin join() {
    return join;
  }

  /** Returns whether no valid object is known; deleted objects do not count. */
  public boolean isEmpty() {
    return contents.isEmpty();
  }

  /** Returns the name of the workspace that owns the API key with this hash. */
  public Optional<String> workspaceByKeyHash(String keyHash) {
    return Optional.ofNullable(workspaceByKeyHash.get(keyHash));
  }

  /** Returns the workspace of this name. */
  public Optional<Workspace> workspace(String name) {
    return content(Kinds.WORKSPACE, name, Workspace.class);
  }

  /** Returns the version of this name. */
  public Optional<Version> version(String name) {
    return content(Kinds.VERSION, name, Version.class);
  }

  /** Returns the cascade of this name. */
  public Optional<Cascade> cascade(String name) {
    return content(Kinds.CASCADE, name, Cascade.class);
  }

  /** Returns the upstream of this name. */
  public Optional<Upstream> upstream(String name) {
    return content(Kinds.UPSTREAM, name, Upstream.class);
  }

  /** Returns the service of this name. */
  public Optional<Service> service(String name) {
    return content(Kinds.SERVICE, name, Service.class);
  }

  /** Returns the compiled policy of this name. */
  public Optional<PolicyProgram> program(String policy) {
    return Optional.ofNullable(programs.get(policy));
  }

  /** Returns whether a model of this name is published. */
  public boolean hasModel(String name) {
    return contents.containsKey(ObjectKey.valueOf(Kinds.MODEL, name));
  }

  /** Returns the roll-out of this name. */
  public Optional<Rollout> rolloutByName(String name) {
    return content(Kinds.ROLLOUT, name, Rollout.class);
  }

  /** Returns the roll-out of the model that is running or halted. */
  public Optional<Rollout> rollout(String model) {
    return names(Kinds.ROLLOUT).stream()
        .flatMap(name -> content(Kinds.ROLLOUT, name, Rollout.class).stream())
        .filter(rollout -> rollout.model().equals(model))
        .filter(rollout -> rollout.state() != Rollout.State.FINISHED)
        .findFirst();
  }

  /**
   * Returns the name of the current version of the model.
   *
   * <p>Between the two writes of a promotion two versions are current; the one published last is
   * returned.
   */
  public Optional<String> currentVersion(String model) {
    return versionsByModel.getOrDefault(model, List.of()).stream()
        .filter(name -> version(name).orElseThrow().state() == VersionState.CURRENT)
        .max(Comparator.comparing(name -> revisionOf(Kinds.VERSION, name)));
  }

  /** Returns the names of the upstreams that serve a version or a service. */
  public List<String> upstreamsServing(String versionOrService) {
    return upstreamsByService.getOrDefault(versionOrService, List.of());
  }

  /** Returns the names of all objects of the kind. */
  public List<String> names(String kind) {
    List<String> names = new ArrayList<>();
    for (ObjectKey key : contents.keySet()) {
      if (key.kind().equals(kind)) {
        names.add(key.name());
      }
    }
    return names;
  }

  /** Returns the store revision of the object, {@link StoreRevision#NONE} if it is unknown. */
  public StoreRevision revisionOf(String kind, String name) {
    ObjectKey key = ObjectKey.valueOf(kind, name);
    return join.get(key).map(StoredObject::revision).orElse(StoreRevision.NONE);
  }

  private <T> Optional<T> content(String kind, String name, Class<T> type) {
    return Optional.ofNullable(contents.get(ObjectKey.valueOf(kind, name))).map(type::cast);
  }

  private static Optional<Object> parse(StoredObject object) {
    try {
      return Kinds.read(object.key(), object.value());
    } catch (ConfigurationInvalidException e) {
      logger.atWarning().log("skipped invalid object %s: %s", object.key(), e.getMessage());
      return Optional.empty();
    }
  }

  private void index(String kind) {
    switch (kind) {
      case Kinds.WORKSPACE -> indexWorkspaces();
      case Kinds.UPSTREAM -> indexUpstreams();
      case Kinds.VERSION -> indexVersions();
      case Kinds.POLICY -> indexPolicies();
      default -> {
        // The other kinds are looked up by name only.
      }
    }
  }

  private void indexWorkspaces() {
    workspaceByKeyHash.clear();
    for (String name : names(Kinds.WORKSPACE)) {
      for (String hash : workspace(name).orElseThrow().keyHashes()) {
        workspaceByKeyHash.put(hash, name);
      }
    }
  }

  private void indexUpstreams() {
    upstreamsByService.clear();
    for (String name : names(Kinds.UPSTREAM)) {
      for (String versionOrService : upstream(name).orElseThrow().serves()) {
        upstreamsByService.computeIfAbsent(versionOrService, unused -> new ArrayList<>()).add(name);
      }
    }
  }

  private void indexVersions() {
    versionsByModel.clear();
    for (String name : names(Kinds.VERSION)) {
      String model = version(name).orElseThrow().model();
      versionsByModel.computeIfAbsent(model, unused -> new ArrayList<>()).add(name);
    }
  }

  private void indexPolicies() {
    programs.clear();
    for (String name : names(Kinds.POLICY)) {
      String text = content(Kinds.POLICY, name, Policy.class).orElseThrow().program();
      try {
        programs.put(name, PolicyProgram.compile(name, text));
      } catch (PolicyInvalidException e) {
        logger.atWarning().log("skipped invalid policy %s: %s", name, e.getMessage());
      }
    }
  }
}
