// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;

/**
 * A customer with its keys, policy and limits. Immutable.
 *
 * @param keyHashes the SHA-256 hash of each key, in hexadecimal
 * @param policy the name of its policy
 * @param requestsPerSecond the maximum request rate over all instances
 * @param priority the priority, from 0 (shed first) to 9 (shed last)
 */
public record Workspace(
    List<String> keyHashes, String policy, double requestsPerSecond, int priority) {}
