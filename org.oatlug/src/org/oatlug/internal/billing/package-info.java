/** Bills, replicated to two witnesses until the ledger has confirmed them. */
package org.oatlug.internal.billing;
