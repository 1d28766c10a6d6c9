/** Bills that two witnesses hold until the ledger has them. */
package org.oatlug.internal.billing;
