// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;
import org.oatlug.api.ObjectKey;
import org.oatlug.errors.ConfigurationInvalidException;
import org.oatlug.errors.PolicyInvalidException;
import org.oatlug.internal.config.PolicyProgram;

/** Validates constraints that the types alone do not express. Stateless, thread-safe. */
final class ContentRules {
  private static final int MAXIMUM_PRIORITY = 9;
  private static final int MAXIMUM_PERCENT = 100;
  private static final int MAXIMUM_PORT = 65535;

  private ContentRules() {}

  static void check(ObjectKey key, Object content) throws ConfigurationInvalidException {
    if (content instanceof Workspace workspace) {
      checkWorkspace(key, workspace);
    } else if (content instanceof Version version) {
      require(version.model() != null, key, "model", "is missing");
      require(version.state() != null, key, "state", "is missing");
    } else if (content instanceof Cascade cascade) {
      checkCascade(key, cascade);
    } else if (content instanceof Policy policy) {
      checkPolicy(key, policy);
    } else if (content instanceof Rollout rollout) {
      checkRollout(key, rollout);
    } else if (content instanceof Upstream upstream) {
      checkUpstream(key, upstream);
    } else if (content instanceof Service service) {
      require(isNonEmpty(service.routes()), key, "routes", "must not be empty");
    }
  }

  private static void checkWorkspace(ObjectKey key, Workspace workspace)
      throws ConfigurationInvalidException {
    require(isNonEmpty(workspace.keyHashes()), key, "keyHashes", "must not be empty");
    require(workspace.policy() != null, key, "policy", "is missing");
    require(workspace.requestsPerSecond() > 0, key, "requestsPerSecond", "must be above 0");
    boolean inRange = workspace.priority() >= 0 && workspace.priority() <= MAXIMUM_PRIORITY;
    require(inRange, key, "priority", "must be from 0 to 9");
  }

  private static void checkCascade(ObjectKey key, Cascade cascade)
      throws ConfigurationInvalidException {
    require(isNonEmpty(cascade.stages()), key, "stages", "must not be empty");
    boolean inRange = cascade.safeStage() >= 0 && cascade.safeStage() < cascade.stages().size();
    require(inRange, key, "safeStage", "must be the index of a stage, from 0");
    boolean targetInRange = cascade.qualityTarget() > 0 && cascade.qualityTarget() < 1;
    require(targetInRange, key, "qualityTarget", "must lie between 0 and 1");
  }

  private static void checkPolicy(ObjectKey key, Policy policy)
      throws ConfigurationInvalidException {
    require(policy.program() != null, key, "program", "is missing");
    try {
      PolicyProgram.compile(key.name(), policy.program());
    } catch (PolicyInvalidException e) {
      throw new ConfigurationInvalidException(key + ".program", e.getMessage());
    }
  }

  private static void checkRollout(ObjectKey key, Rollout rollout)
      throws ConfigurationInvalidException {
    require(rollout.model() != null, key, "model", "is missing");
    require(rollout.candidate() != null, key, "candidate", "is missing");
    require(rollout.state() != null, key, "state", "is missing");
    require(rollout.onHalt() != null, key, "onHalt", "is missing");
    int weight = rollout.weightPercent();
    boolean inRange = weight >= 0 && weight <= MAXIMUM_PERCENT;
    require(inRange, key, "weightPercent", "must be from 0 to 100");
  }

  private static void checkUpstream(ObjectKey key, Upstream upstream)
      throws ConfigurationInvalidException {
    require(upstream.kind() != null, key, "kind", "is missing");
    require(upstream.host() != null, key, "host", "is missing");
    require(upstream.zone() != null, key, "zone", "is missing");
    require(isNonEmpty(upstream.serves()), key, "serves", "must not be empty");
    require(upstream.slots() > 0, key, "slots", "must be above 0");
    boolean portInRange = upstream.port() > 0 && upstream.port() <= MAXIMUM_PORT;
    require(portInRange, key, "port", "must be from 1 to 65535");
  }

  private static boolean isNonEmpty(List<?> list) {
    return list != null && !list.isEmpty();
  }

  private static void require(boolean valid, ObjectKey key, String field, String problem)
      throws ConfigurationInvalidException {
    if (!valid) {
      throw new ConfigurationInvalidException(key + "." + field, problem);
    }
  }
}
