/**
 * Keeps what customers have running within their caps during one pass. Load
 * pattern: a customer sends several times its usual rate, or its cap is lowered
 * far below what it sends.
 */
import type {Customer} from '../../bundle/types.js';
import type {CustomerName} from '../../ids/types.js';
import {addResources, multiplyResources} from '../resources.js';
import type {Resources, StepSpec, WorkflowState} from '../types.js';
import type {CapWait, PlanInput} from './types.js';
import {unrecordedTasks} from './unrecorded_tasks.js';

/** A step and the workflow that it belongs to. */
export interface CappedStep {
  readonly workflow: Pick<WorkflowState, 'customer'>;
  readonly spec: StepSpec;
}

/** What one customer has running, and what this pass adds. */
interface Usage {
  readonly customer: Customer;
  used: Resources;
  /** Resources of its long-running tasks. */
  readonly lasting: Resources;
  /** Whether the rest of the cap is kept for a step that waits for it. */
  isKept: boolean;
}

/**
 * Number of tasks of a size that fit under a cap beside what is used; infinity
 * without a limit.
 */
export const countUnderCap = (
  size: Resources,
  used: Resources,
  cap: Resources,
): number =>
  Math.min(
    countIn(size.cpuMillis, used.cpuMillis, cap.cpuMillis),
    countIn(size.memMb, used.memMb, cap.memMb),
    countIn(size.gpus, used.gpus, cap.gpus),
  );

const countIn = (size: number, used: number, cap: number): number =>
  cap === 0 || size === 0
    ? Number.POSITIVE_INFINITY
    : Math.max(0, Math.floor((cap - used) / size));

/** The caps of all customers, and what counts toward them in one pass. */
export class CustomerCaps {
  private readonly usages = new Map<CustomerName, Usage>();

  constructor(
    private readonly input: Pick<
      PlanInput,
      'db' | 'pending' | 'mayRun' | 'wall'
    >,
  ) {
    const {db} = input;
    for (const customer of db.customers.values()) {
      const {declared, lasting} = db.usage.of(customer.name);
      this.usages.set(customer.name, {
        customer,
        used: declared,
        lasting,
        isKept: false,
      });
    }
    if (this.usages.size === 0) return;
    for (const task of unrecordedTasks(input)) this.claim(task, 1);
  }

  /** Number of waiting tasks that may start now; a gang starts whole or not at all. */
  countAllowed(step: CappedStep, taskCount: number): number {
    const usage = this.usageOf(step);
    if (!usage) return taskCount;
    const {used, customer, isKept} = usage;
    const count = countUnderCap(step.spec.room, used, customer.cap);
    if (count === Number.POSITIVE_INFINITY) return taskCount;
    if (isKept) return 0;
    const allowed = Math.min(taskCount, count);
    return step.spec.isGang && allowed < taskCount ? 0 : allowed;
  }

  /** Counts tasks that this pass starts, or has resources reserved for. */
  claim(step: CappedStep, taskCount: number): void {
    const usage = this.usageOf(step);
    if (usage)
      usage.used = addResources(
        usage.used,
        multiplyResources(step.spec.room, taskCount),
      );
  }

  /**
   * Keeps the rest of the cap from later steps for a gang, or for a late task,
   * that does not fit beside what runs; not for one that would not fit beside
   * the long-running tasks alone, as it would stop its customer for good.
   */
  keepRest({workflow, spec}: CappedStep, dueAt: number): void {
    const usage = this.usageOf({workflow, spec});
    if (!usage || !(spec.isGang || this.input.wall >= dueAt)) return;
    const {lasting, used, customer} = usage;
    const neededCount = spec.isGang ? spec.taskCount : 1;
    if (countUnderCap(spec.room, used, customer.cap) >= neededCount) return;
    if (countUnderCap(spec.room, lasting, customer.cap) >= neededCount)
      usage.isKept = true;
  }

  /** What holds a step back. */
  waitOf(step: CappedStep): CapWait | undefined {
    const usage = this.usageOf(step);
    return (
      usage && {
        customer: usage.customer.name,
        used: usage.used,
        allowed: usage.customer.cap,
      }
    );
  }

  private usageOf({workflow}: CappedStep): Usage | undefined {
    return workflow.customer === undefined
      ? undefined
      : this.usages.get(workflow.customer);
  }
}
