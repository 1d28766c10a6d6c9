// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gather;

/**
 * A session that stays on the version of a service on which it began, although its share would move
 * it. Immutable, thread-safe.
 *
 * @param service the service
 * @param session the number of the session
 */
public record KeptSession(String service, long session) {}
