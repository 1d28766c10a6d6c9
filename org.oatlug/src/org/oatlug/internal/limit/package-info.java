/** Rate limits, admission and the retry budget. */
package org.oatlug.internal.limit;
