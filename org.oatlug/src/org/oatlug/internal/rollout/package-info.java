/** Comparison of versions during a roll-out, and the guard that halts a bad candidate. */
package org.oatlug.internal.rollout;
