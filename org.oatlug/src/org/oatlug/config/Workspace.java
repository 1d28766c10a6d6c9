// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;

/**
 * A customer's space: its keys, its policy and its limits. Immutable.
 *
 * @param keyHashes SHA-256 of each key, in hexadecimal
 * @param policy the name of its policy
 * @param requestsPerSecond the rate over all instances
 * @param priority from 0 (shed first) to 9 (shed last)
 */
public record Workspace(
    List<String> keyHashes, String policy, double requestsPerSecond, int priority) {}
