/** Ledger of claims, outcomes, session bindings and bills in the platform's object store. */
package org.oatlug.internal.ledger;
