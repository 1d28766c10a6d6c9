/** The guard that halts a version that turned bad. */
package org.oatlug.internal.rollout;
