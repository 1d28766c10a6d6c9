/** Clocks, hashing, JSON and other general-purpose utilities. */
package org.oatlug.internal.util;
