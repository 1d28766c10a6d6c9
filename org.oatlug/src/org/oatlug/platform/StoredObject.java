// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.platform;

import com.fasterxml.jackson.databind.JsonNode;
import org.oatlug.api.ObjectKey;

/**
 * An object as the platform holds it. Immutable by convention: nobody changes {@code value}.
 *
 * @param key kind and name
 * @param version the platform's version; grows with every write to the platform
 * @param value the content
 */
public record StoredObject(ObjectKey key, long version, JsonNode value) {}
